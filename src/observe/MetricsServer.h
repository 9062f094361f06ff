#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace cuminrelay {

/// Serves GET /metrics of one process over HTTP/1.1 in the Prometheus text format. One coroutine accepts, one serves
/// each connection. The metrics, the log and the server must outlive the executor's context.
class MetricsServer {
public:
    MetricsServer(const boost::asio::any_io_executor& executor, Metrics& metrics, Log& log);

    /// Binds the endpoint and starts to serve; port 0 takes any free one. Errors: Unavailable, naming the endpoint.
    Outcome<void> start(Endpoint endpoint);

    /// Where it listens; after start.
    Endpoint localEndpoint() const;

    /// Accepts no more connections; those that are open end by themselves.
    void stop();

private:
    static constexpr std::size_t s_maximumConnections = 16;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    Metrics& m_metrics;
    Log& m_log;
    std::size_t m_connections = 0;
};

} // namespace cuminrelay
