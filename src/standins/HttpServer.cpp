#include "standins/HttpServer.h"

#include "observe/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
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
using asio::ip::tcp;

namespace {

    /// Larger bodies are rejected before they are read.
    constexpr std::uint64_t c_maximumBodyBytes = 4'000'000;

    asio::awaitable<void> serveConnection(tcp::socket socket, std::shared_ptr<HttpHandler> handler)
    {
        boost::beast::tcp_stream stream { std::move(socket) };
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        bool keepAlive = true;
        while (keepAlive) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(c_maximumBodyBytes);
            co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::body_limit)
                co_return;
            std::optional<HttpResponse> response;
            if (error) {
                response = errorResponse(http::status::payload_too_large, "request body exceeds 4000000 bytes");
                keepAlive = false;
            } else {
                const HttpRequest request = parser.release();
                keepAlive = request.keep_alive();
                response = co_await handler->handle(request);
            }
            if (!response)
                co_return;
            response->keep_alive(keepAlive);
            response->prepare_payload();
            co_await http::async_write(stream, *response, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
        }
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }

    asio::awaitable<void> acceptConnections(tcp::acceptor acceptor, std::shared_ptr<HttpHandler> handler)
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (!error)
                asio::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket), handler), asio::detached);
        }
    }

} // namespace

HttpTarget parseTarget(std::string_view target)
{
    HttpTarget parsed;
    const std::size_t queryStart = target.find('?');
    parsed.m_path = target.substr(0, queryStart);
    std::string_view rest = queryStart == std::string_view::npos ? std::string_view {} : target.substr(queryStart + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const std::string_view value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view {};
        parsed.m_query.emplace(pair.substr(0, equals), value);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return parsed;
}

HttpResponse jsonResponse(http::status status, std::string body)
{
    HttpResponse response { status, 11 };
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

HttpResponse errorResponse(http::status status, std::string_view message)
{
    std::string body = "{\"error\":";
    appendJsonString(body, message);
    body += '}';
    return jsonResponse(status, std::move(body));
}

Outcome<Endpoint> serveHttp(asio::io_context& context, Endpoint listen, std::shared_ptr<HttpHandler> handler)
{
    const tcp::endpoint listenEndpoint { asio::ip::address_v4 { listen.m_address }, listen.m_port };
    tcp::acceptor acceptor { context };
    boost::system::error_code error;
    acceptor.open(listenEndpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address { true }, error);
    if (!error)
        acceptor.bind(listenEndpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error { ErrorKind::Unavailable,
            fmt::format("cannot listen at {}: {}", formatEndpoint(listen), error.message()) };
    const Endpoint bound { listen.m_address, acceptor.local_endpoint().port() };
    asio::co_spawn(context, acceptConnections(std::move(acceptor), std::move(handler)), asio::detached);
    return bound;
}

} // namespace cuminrelay::standins
