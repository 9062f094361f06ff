#include "backends/HttpBackendProbe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    constexpr std::string_view c_goodBody = R"({"connections":7,"busy_slots":2,"queued":1,"shedding":true})";

    std::string httpAnswer(std::string_view status, std::string_view body)
    {
        return fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
    }

    /// Load endpoint with scripted answers, one per request; an empty answer closes the connection.
    class ScriptedEndpoint {
    public:
        explicit ScriptedEndpoint(std::vector<std::string> answers)
            : m_answers(std::move(answers))
            , m_acceptor(m_context, tcp::endpoint { asio::ip::address_v4::loopback(), 0 })
        {
            asio::co_spawn(m_context, serve(), asio::detached);
        }

        Endpoint endpoint() const { return { 0x7f000001, m_acceptor.local_endpoint().port() }; }

        std::vector<ProbeResult> probe(unsigned times)
        {
            HttpBackendProbeFactory factory { m_context.get_executor(), m_clock, m_metrics };
            std::future<std::vector<ProbeResult>> results
                = asio::co_spawn(m_context, probeTimes(factory.open(endpoint()), times), asio::use_future);
            m_context.run();
            return results.get();
        }

        unsigned connections() const { return m_connections; }
        Metrics& metrics() { return m_metrics; }

    private:
        asio::awaitable<std::vector<ProbeResult>> probeTimes(std::unique_ptr<BackendProbe> probe, unsigned times)
        {
            std::vector<ProbeResult> results;
            for (unsigned i = 0; i < times; ++i)
                results.push_back(co_await probe->probe(m_clock.now() + std::chrono::seconds { 5 }));
            m_acceptor.close();
            m_context.stop();
            co_return results;
        }

        asio::awaitable<void> serve()
        {
            std::size_t next = 0;
            while (next < m_answers.size()) {
                tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
                ++m_connections;
                std::string request;
                while (next < m_answers.size()) {
                    const auto [error, size] = co_await asio::async_read_until(
                        socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
                    if (error)
                        break;
                    request.erase(0, size);
                    const std::string& answer = m_answers[next++];
                    if (answer.empty())
                        break;
                    co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
                }
            }
        }

        std::vector<std::string> m_answers;
        asio::io_context m_context;
        tcp::acceptor m_acceptor;
        SystemClock m_clock;
        Metrics m_metrics;
        unsigned m_connections = 0;
    };

    TEST(HttpBackendProbe, oneConnectionServesManyProbesAndItsBytesAreCounted)
    {
        const std::string answer = httpAnswer("200 OK", c_goodBody);
        ScriptedEndpoint endpoint { { answer, answer, answer } };
        const std::vector<ProbeResult> results = endpoint.probe(3);
        EXPECT_EQ(endpoint.connections(), 1U);
        for (const ProbeResult& result : results) {
            EXPECT_EQ(result.m_signal, ProbeSignal::Good);
            EXPECT_EQ(result.m_load, (BackendLoad { 7, 2, 1, true }));
        }
        EXPECT_EQ(
            endpoint.metrics().counter("cuminrelay_control_bytes_total", "probes_received").value(), 3 * answer.size());
        EXPECT_GT(endpoint.metrics().counter("cuminrelay_control_bytes_total", "probes_sent").value(), 0U);
    }

    TEST(HttpBackendProbe, statusesAndMalformedAnswersAreDistinguished)
    {
        ScriptedEndpoint endpoint { { httpAnswer("503 Service Unavailable", ""), httpAnswer("200 OK", "[]"),
            httpAnswer("404 Not Found", c_goodBody), "nonsense\r\n\r\n", httpAnswer("200 OK", c_goodBody) } };
        const std::vector<ProbeResult> results = endpoint.probe(5);
        EXPECT_EQ(results[0].m_signal, ProbeSignal::ReportedUnhealthy);
        EXPECT_EQ(results[1].m_signal, ProbeSignal::NoAnswer);
        EXPECT_EQ(results[2].m_signal, ProbeSignal::NoAnswer);
        EXPECT_EQ(results[3].m_signal, ProbeSignal::NoAnswer);
        EXPECT_EQ(results[4].m_signal, ProbeSignal::Good);
    }

    TEST(HttpBackendProbe, aClosedPersistentConnectionIsReopened)
    {
        const std::string answer = httpAnswer("200 OK", c_goodBody);
        ScriptedEndpoint endpoint { { answer, "", answer } };
        const std::vector<ProbeResult> results = endpoint.probe(2);
        EXPECT_EQ(results[1].m_signal, ProbeSignal::Good);
        EXPECT_EQ(endpoint.connections(), 2U);
    }

    TEST(HttpBackendProbe, aFreshConnectionThatIsClosedIsNoAnswer)
    {
        ScriptedEndpoint endpoint { { "" } };
        EXPECT_EQ(endpoint.probe(1)[0].m_signal, ProbeSignal::NoAnswer);
        EXPECT_EQ(endpoint.metrics().counter("cuminrelay_probe_failures_total", "no_answer").value(), 1U);
    }

    TEST(HttpBackendProbe, aRefusedConnectionIsNoAnswer)
    {
        asio::io_context context;
        SystemClock clock;
        Metrics metrics;
        tcp::acceptor acceptor { context, tcp::endpoint { asio::ip::address_v4::loopback(), 0 } };
        const Endpoint closed { 0x7f000001, acceptor.local_endpoint().port() };
        acceptor.close();
        HttpBackendProbeFactory factory { context.get_executor(), clock, metrics };
        const std::unique_ptr<BackendProbe> probe = factory.open(closed);
        std::future<ProbeResult> result
            = asio::co_spawn(context, probe->probe(clock.now() + std::chrono::seconds { 5 }), asio::use_future);
        context.run();
        EXPECT_EQ(result.get().m_signal, ProbeSignal::NoAnswer);
        EXPECT_EQ(metrics.counter("cuminrelay_probe_failures_total", "connect").value(), 1U);
    }

    TEST(LoadMessage, missingKeysAndNumbersOutOfRangeAreAccepted)
    {
        EXPECT_EQ(parseLoad("{}").value(), BackendLoad {});
        EXPECT_EQ(parseLoad(R"({"queued":70000,"connections":18446744073709551615})").value(),
            (BackendLoad { 0xffffffff, 0, 0xffff, false }));
    }

    TEST(LoadMessage, malformedReportsAreRefused)
    {
        for (const char* const body : { "", "[]", "7", R"({"connections":-1})", R"({"connections":"7"})",
                 R"({"queued":1.5})", R"({"shedding":1})" })
            EXPECT_EQ(parseLoad(body).error().m_kind, ErrorKind::InvalidInput) << body;
    }

    class ImmediateProbe final : public BackendProbe {
    public:
        asio::awaitable<ProbeResult> probe(Deadline) override { co_return ProbeResult { ProbeSignal::Good, {} }; }
    };

    class CancellingSink final : public ProbeSink {
    public:
        explicit CancellingSink(asio::cancellation_signal& signal)
            : m_signal(signal)
        {
        }

        void recordProbe(Endpoint backend, const ProbeResult&) override
        {
            m_backends.push_back(backend);
            if (m_backends.size() == 3)
                m_signal.emit(asio::cancellation_type::terminal);
        }

        std::vector<Endpoint> m_backends;

    private:
        asio::cancellation_signal& m_signal;
    };

    TEST(ProbeTask, probesUntilItIsCancelled)
    {
        asio::io_context context;
        SystemClock clock;
        asio::cancellation_signal signal;
        CancellingSink sink { signal };
        const Endpoint backend { 1, 80 };
        asio::co_spawn(context,
            probeRepeatedly(backend, std::make_unique<ImmediateProbe>(), std::chrono::milliseconds { 1 }, clock, sink),
            asio::bind_cancellation_slot(signal.slot(), asio::detached));
        context.run();
        EXPECT_EQ(sink.m_backends, (std::vector<Endpoint> { backend, backend, backend }));
    }

} // namespace
} // namespace cuminrelay
