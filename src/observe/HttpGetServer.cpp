#include "observe/HttpGetServer.h"

#include "base/Listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_static_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using asio::ip::tcp;

    constexpr std::chrono::seconds c_requestTimeout { 5 };
    constexpr std::chrono::milliseconds c_acceptRetryDelay { 100 }; // after errors such as EMFILE
    constexpr std::size_t c_headerLimitBytes = 4096;
    constexpr auto c_asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

HttpGetServer::HttpGetServer(const asio::any_io_executor& executor, std::string name, Metrics& metrics, Log& log)
    : m_acceptor(executor)
    , m_name(std::move(name))
    , m_metrics(metrics)
    , m_log(log)
    , m_tasks(executor, metrics, log)
{
}

Outcome<void> HttpGetServer::start(Endpoint endpoint)
{
    Outcome<tcp::acceptor> listener = openListener(m_acceptor.get_executor(), endpoint, m_name);
    if (!listener)
        return listener.error();
    m_acceptor = std::move(listener.value());
    m_tasks.keepRunning(m_name, [this] { return acceptConnections(); });
    return boost::outcome_v2::success();
}

Endpoint HttpGetServer::localEndpoint() const
{
    return cuminrelay::localEndpoint(m_acceptor);
}

void HttpGetServer::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> HttpGetServer::acceptConnections()
{
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(c_asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            m_metrics.counter("cuminrelay_accept_failures_total", m_name).add();
            m_log.warning("observe", "accept_failed", { { "server", m_name }, { "error", error.message() } });
            asio::steady_timer pause { m_acceptor.get_executor(), c_acceptRetryDelay };
            co_await pause.async_wait(c_asTuple);
            continue;
        }
        if (m_connections >= s_maximumConnections && !closeLongestIdle()) {
            m_metrics.counter("cuminrelay_refusals_total", fmt::format("{}_connection_limit", m_name)).add();
            continue;
        }
        ++m_connections;
        m_tasks.runOnce(m_name, serveConnection(std::move(socket)), [this] { --m_connections; });
    }
}

bool HttpGetServer::closeLongestIdle()
{
    while (!m_idle.empty()) {
        const std::shared_ptr<beast::tcp_stream> stream = m_idle.front().lock();
        m_idle.erase(m_idle.begin());
        if (!stream)
            continue;
        // Its coroutine ends, unless a request has just been received.
        stream->cancel();
        m_metrics.counter("cuminrelay_idle_connections_closed_total", m_name).add();
        return true;
    }
    return false;
}

asio::awaitable<void> HttpGetServer::serveConnection(tcp::socket socket)
{
    co_await serveRequests(std::move(socket));
    --m_connections;
}

asio::awaitable<void> HttpGetServer::serveRequests(tcp::socket socket)
{
    const std::shared_ptr<beast::tcp_stream> stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    beast::flat_static_buffer<c_headerLimitBytes> buffer;
    for (;;) {
        stream->expires_after(c_requestTimeout);
        http::request_parser<http::empty_body> parser;
        parser.header_limit(c_headerLimitBytes);
        m_idle.emplace_back(stream);
        const auto [readError, readBytes] = co_await http::async_read(*stream, buffer, parser, c_asTuple);
        std::erase_if(m_idle, [&](const std::weak_ptr<beast::tcp_stream>& idle) { return idle.lock() == stream; });
        if (readError)
            break;
        const http::request<http::empty_body>& request = parser.get();
        http::response<http::string_body> response { http::status::ok, request.version() };
        response.keep_alive(request.keep_alive());
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        HttpGetResponse getResponse { 405, "only GET is served\n" };
        if (request.method() == http::verb::get)
            getResponse = answer({ request.target().data(), request.target().size() });
        response.result(getResponse.m_status);
        response.body() = std::move(getResponse.m_body);
        response.prepare_payload();
        const auto [writeError, writtenBytes] = co_await http::async_write(*stream, response, c_asTuple);
        if (writeError || !response.keep_alive())
            break;
    }
}

} // namespace cuminrelay
