#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace cuminrelay {

/// What a GET request gets.
struct GetAnswer {
    unsigned m_status = 200; ///< of HTTP
    std::string m_body;
};

/// Serves GET requests of one process over HTTP/1.1. One coroutine accepts, one serves each connection. What is handed
/// in and the server must outlive the executor's context.
class GetServer {
public:
    /// name: in counters and messages, such as "metrics".
    GetServer(const boost::asio::any_io_executor& executor, std::string name, Metrics& metrics, Log& log);
    GetServer(const GetServer&) = delete;
    GetServer& operator=(const GetServer&) = delete;
    virtual ~GetServer() = default;

    /// Binds the endpoint and starts to serve; port 0 takes any free one. Errors: Unavailable, naming the endpoint.
    Outcome<void> start(Endpoint endpoint);

    /// Where it listens; after start.
    Endpoint localEndpoint() const;

    /// Accepts no more connections; those that are open end by themselves.
    void stop();

protected:
    /// Answers a request for a target, such as "/metrics".
    virtual GetAnswer answer(std::string_view target) = 0;

private:
    static constexpr std::size_t s_maximumConnections = 64;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_name;
    Metrics& m_metrics;
    Log& m_log;
    std::size_t m_connections = 0;
};

} // namespace cuminrelay
