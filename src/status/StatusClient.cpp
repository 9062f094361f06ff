#include "status/StatusClient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <thread>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;

    constexpr unsigned c_httpVersion = 11;
    constexpr std::uint64_t c_maximumPageBytes = 4'000'000;
    constexpr std::chrono::milliseconds c_pollInterval { 200 };
    constexpr std::chrono::seconds c_answerTimeout { 2 };

    asio::awaitable<Outcome<std::string>> fetchPage(Endpoint metrics, std::chrono::steady_clock::time_point deadline)
    {
        boost::beast::tcp_stream stream { co_await asio::this_coro::executor };
        stream.expires_at(deadline);
        boost::system::error_code failure;
        const asio::ip::tcp::endpoint endpoint { asio::ip::address_v4 { metrics.m_address }, metrics.m_port };
        co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return Error { ErrorKind::Unavailable, failure.message() };
        http::request<http::empty_body> request { http::verb::get, "/metrics", c_httpVersion };
        request.set(http::field::host, formatEndpoint(metrics));
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return Error { ErrorKind::Unavailable, failure.message() };
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(c_maximumPageBytes);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return Error { ErrorKind::Unavailable, failure.message() };
        if (parser.get().result() != http::status::ok)
            co_return Error { ErrorKind::Unavailable, "the answer to GET /metrics does not have status 200" };
        co_return parser.get().body();
    }

    asio::awaitable<void> fetchStatus(
        Endpoint metrics, std::chrono::steady_clock::time_point deadline, VmStatus& status)
    {
        const Outcome<std::string> page = co_await fetchPage(metrics, deadline);
        status = statusFrom(metrics, MetricsPage { page ? page.value() : std::string {} });
        if (!page)
            status.m_problem = page.error().m_message;
    }

} // namespace

std::vector<VmStatus> fetchStatuses(std::span<const Endpoint> metrics, std::chrono::steady_clock::time_point deadline)
{
    asio::io_context context;
    std::vector<VmStatus> statuses(metrics.size());
    for (std::size_t i = 0; i < metrics.size(); ++i)
        asio::co_spawn(context, fetchStatus(metrics[i], deadline, statuses[i]), asio::detached);
    context.run();
    return statuses;
}

std::vector<VmStatus> awaitVersion(
    std::span<const Endpoint> metrics, ConfigVersion version, std::chrono::steady_clock::time_point deadline)
{
    for (;;) {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        std::vector<VmStatus> statuses = fetchStatuses(metrics, std::min(deadline, now + c_answerTimeout));
        if (isInForce(statuses, version) || std::chrono::steady_clock::now() + c_pollInterval >= deadline)
            return statuses;
        std::this_thread::sleep_for(c_pollInterval);
    }
}

} // namespace cuminrelay
