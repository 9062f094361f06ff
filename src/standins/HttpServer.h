#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrelay::standins {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Handles the HTTP requests of a test double.
class HttpHandler {
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler&) = delete;
    HttpHandler& operator=(const HttpHandler&) = delete;
    virtual ~HttpHandler() = default;

    /// Returns the response; nullopt closes the connection without one.
    virtual boost::asio::awaitable<std::optional<HttpResponse>> handle(const HttpRequest& request) = 0;
};

/// The path and the query of a request target, not percent-decoded.
struct HttpTarget {
    std::string m_path;
    std::map<std::string, std::string, std::less<>> m_query;
};

HttpTarget parseTarget(std::string_view target);

HttpResponse jsonResponse(boost::beast::http::status status, std::string body);

/// A response with the body {"error": message}.
HttpResponse errorResponse(boost::beast::http::status status, std::string_view message);

/// Listens at the endpoint (port 0: any free port) and serves each connection in its own task while the context runs.
/// Returns the bound endpoint. Errors: Unavailable when the address is in use or not local.
Outcome<Endpoint> serveHttp(boost::asio::io_context& context, Endpoint listen, std::shared_ptr<HttpHandler> handler);

} // namespace cuminrelay::standins
