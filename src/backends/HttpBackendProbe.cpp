#include "backends/HttpBackendProbe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using asio::ip::tcp;

    constexpr std::uint32_t c_headerLimit = 2048;
    constexpr std::uint64_t c_bodyLimit = 4096;
    constexpr int c_httpVersion = 11;

    /// A probe that takes longer than the time to its deadline divided by this is slow.
    constexpr int c_slowDivisor = 2;

    constexpr asio::as_tuple_t<asio::use_awaitable_t<>> c_asTuple = asio::as_tuple(asio::use_awaitable);

    /// A complete HTTP response of the backend server.
    struct Answer {
        unsigned m_status = 0;
        std::string m_body;
        bool m_keepAlive = false;
    };

    struct RequestResult {
        std::optional<Answer> m_answer;
        bool m_closedBeforeAnswer = false;
    };

    class HttpBackendProbe final : public BackendProbe {
    public:
        HttpBackendProbe(asio::any_io_executor executor, Endpoint loadEndpoint, const Clock& clock, Metrics& metrics)
            : m_executor(std::move(executor))
            , m_remote(asio::ip::address_v4 { loadEndpoint.m_address }, loadEndpoint.m_port)
            , m_clock(clock)
            , m_metrics(metrics)
            , m_sentBytes(metrics.counter("cuminrelay_control_bytes_total", "probes_sent"))
            , m_receivedBytes(metrics.counter("cuminrelay_control_bytes_total", "probes_received"))
        {
        }

        asio::awaitable<ProbeResult> probe(Deadline deadline) override
        {
            const Instant started = m_clock.now();
            const bool reused = m_stream.has_value();
            if (!reused && !co_await connect(deadline))
                co_return recordFailure("connect");
            RequestResult requestResult = co_await requestLoad(deadline);
            if (reused && requestResult.m_closedBeforeAnswer) {
                // A backend server may close an idle connection at any time, whatever its health.
                if (!co_await connect(deadline))
                    co_return recordFailure("connect");
                requestResult = co_await requestLoad(deadline);
            }
            if (!requestResult.m_answer)
                co_return recordFailure(m_clock.now() >= deadline ? "timeout" : "no_answer");
            if (!requestResult.m_answer->m_keepAlive)
                m_stream.reset();
            co_return evaluate(*requestResult.m_answer, started, deadline);
        }

    private:
        ProbeResult recordFailure(std::string_view reason)
        {
            m_stream.reset();
            m_metrics.counter("cuminrelay_probe_failures_total", reason).add();
            return ProbeResult { ProbeSignal::NoAnswer, {} };
        }

        ProbeResult evaluate(const Answer& answer, Instant started, Deadline deadline)
        {
            if (answer.m_status == static_cast<unsigned>(http::status::service_unavailable)) {
                m_metrics.counter("cuminrelay_probe_failures_total", "reported_unhealthy").add();
                return ProbeResult { ProbeSignal::ReportedUnhealthy, {} };
            }
            const Outcome<BackendLoad> load = parseLoad(answer.m_body);
            if (answer.m_status != static_cast<unsigned>(http::status::ok) || !load)
                return recordFailure("malformed");
            const bool slow = m_clock.now() - started > (deadline - started) / c_slowDivisor;
            if (slow)
                m_metrics.counter("cuminrelay_probe_failures_total", "slow").add();
            return ProbeResult { slow ? ProbeSignal::Slow : ProbeSignal::Good, load.value() };
        }

        asio::awaitable<bool> connect(Deadline deadline)
        {
            m_stream.emplace(m_executor);
            m_buffer.clear();
            m_stream->expires_after(deadline - m_clock.now());
            const auto [error] = co_await m_stream->async_connect(m_remote, c_asTuple);
            co_return !error;
        }

        asio::awaitable<RequestResult> requestLoad(Deadline deadline)
        {
            m_stream->expires_after(deadline - m_clock.now());
            http::request<http::empty_body> request { http::verb::get, "/load", c_httpVersion };
            request.set(http::field::host, m_remote.address().to_string());
            const auto [writeError, written] = co_await http::async_write(*m_stream, request, c_asTuple);
            m_sentBytes.add(written);
            if (writeError)
                co_return RequestResult { std::nullopt, writeError != beast::error::timeout };
            http::response_parser<http::string_body> parser;
            parser.header_limit(c_headerLimit);
            parser.body_limit(c_bodyLimit);
            const auto [readError, read] = co_await http::async_read(*m_stream, m_buffer, parser, c_asTuple);
            m_receivedBytes.add(read);
            if (readError)
                co_return RequestResult { std::nullopt, readError != beast::error::timeout && !parser.got_some() };
            co_return RequestResult { Answer { parser.get().result_int(), parser.get().body(), parser.keep_alive() },
                false };
        }

        asio::any_io_executor m_executor;
        tcp::endpoint m_remote;
        const Clock& m_clock;
        Metrics& m_metrics;
        Counter& m_sentBytes;
        Counter& m_receivedBytes;
        std::optional<beast::tcp_stream> m_stream;
        beast::flat_buffer m_buffer;
    };

} // namespace

HttpBackendProbeFactory::HttpBackendProbeFactory(
    boost::asio::any_io_executor executor, const Clock& clock, Metrics& metrics)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_metrics(metrics)
{
}

std::unique_ptr<BackendProbe> HttpBackendProbeFactory::open(Endpoint loadEndpoint)
{
    return std::make_unique<HttpBackendProbe>(m_executor, loadEndpoint, m_clock, m_metrics);
}

} // namespace cuminrelay
