#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/TaskSupervisor.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

struct HttpGetResponse {
    unsigned m_status = 200; ///< HTTP status code
    std::string m_body;
};

/// Serves GET requests over HTTP/1.1. One coroutine accepts connections, and one serves each connection. At the limit
/// of connections, a new one replaces the one that has waited longest for a request: it may have gone silent. The
/// server, metrics and log must outlive the I/O context.
class HttpGetServer {
public:
    /// name: in counters and messages, such as "metrics".
    HttpGetServer(const boost::asio::any_io_executor& executor, std::string name, Metrics& metrics, Log& log);
    HttpGetServer(const HttpGetServer&) = delete;
    HttpGetServer& operator=(const HttpGetServer&) = delete;
    virtual ~HttpGetServer() = default;

    /// Binds the endpoint and starts to serve; port 0 selects any free port. Errors: Unavailable, naming the endpoint.
    Outcome<void> start(Endpoint endpoint);

    /// The endpoint that the server listens on; valid after start.
    Endpoint localEndpoint() const;

    /// Stops accepting connections. Open connections end when the client closes them or a request times out.
    void stop();

protected:
    /// Returns the response for a request target, such as "/metrics".
    virtual HttpGetResponse answer(std::string_view target) = 0;

private:
    static constexpr std::size_t s_maximumConnections = 64;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serveRequests(boost::asio::ip::tcp::socket socket);

    /// Ends the connection that has waited longest for a request. Returns false if none waits.
    bool closeLongestIdle();

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_name;
    Metrics& m_metrics;
    Log& m_log;
    TaskSupervisor m_tasks;
    std::size_t m_connections = 0;
    std::vector<std::weak_ptr<boost::beast::tcp_stream>> m_idle; ///< wait for a request, the longest first
};

} // namespace cuminrelay
