#include "standins/HttpClient.h"

#include "standins/HttpServer.h"
#include "standins/Signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

namespace cuminrelay::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

asio::awaitable<Outcome<std::string>> httpGet(Endpoint server, std::string path, Deadline deadline)
{
    constexpr std::uint64_t maximumBodyBytes = 256'000'000;
    boost::beast::tcp_stream stream { co_await asio::this_coro::executor };
    stream.expires_at(toSteady(deadline));
    boost::system::error_code error;
    co_await stream.async_connect(asio::ip::tcp::endpoint { asio::ip::address_v4 { server.m_address }, server.m_port },
        asio::redirect_error(asio::use_awaitable, error));
    HttpRequest request { http::verb::get, path, 11 };
    request.set(http::field::host, formatEndpoint(server));
    if (!error)
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumBodyBytes);
    if (!error)
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return Error { ErrorKind::Unavailable,
            fmt::format("{}{}: {}", formatEndpoint(server), path, error.message()) };
    if (parser.get().result() != http::status::ok)
        co_return Error { ErrorKind::Unavailable,
            fmt::format("{}{}: status {}", formatEndpoint(server), path, parser.get().result_int()) };
    co_return std::move(parser.get().body());
}

} // namespace cuminrelay::standins
