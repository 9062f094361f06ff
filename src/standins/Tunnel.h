#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <memory>
#include <span>

namespace cuminrelay::standins {

/// Receives the datagrams of a tunnel.
class DatagramHandler {
public:
    DatagramHandler() = default;
    DatagramHandler(const DatagramHandler&) = delete;
    DatagramHandler& operator=(const DatagramHandler&) = delete;
    virtual ~DatagramHandler() = default;

    virtual void handleDatagram(std::span<const std::byte> datagram, Endpoint from) = 0;
};

/// A UDP socket whose datagrams hold one IPv4 packet each. One task receives while the context runs.
class Tunnel : public std::enable_shared_from_this<Tunnel> {
public:
    /// Binds the endpoint (port 0: any free port). Errors: Unavailable when the address is in use or not local.
    static Outcome<std::shared_ptr<Tunnel>> open(boost::asio::io_context& context, Endpoint listen);

    /// Starts the task that passes each datagram to the handler; the handler must outlive the context's run.
    void startReceiving(DatagramHandler& handler);

    /// Sends without waiting; a datagram that the kernel rejects is lost.
    void send(std::span<const std::byte> datagram, Endpoint to);

    Endpoint endpoint() const { return m_endpoint; }

private:
    Tunnel(boost::asio::ip::udp::socket socket, Endpoint endpoint)
        : m_socket(std::move(socket))
        , m_endpoint(endpoint)
    {
    }

    static boost::asio::awaitable<void> receive(std::shared_ptr<Tunnel> self, DatagramHandler& handler);

    boost::asio::ip::udp::socket m_socket;
    Endpoint m_endpoint;
};

} // namespace cuminrelay::standins
