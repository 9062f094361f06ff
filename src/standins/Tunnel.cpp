#include "standins/Tunnel.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace cuminrelay::standins {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    constexpr std::size_t c_maximumDatagramBytes = 65'536;
    constexpr int c_receiveBufferBytes = 4 << 20;

    Endpoint fromAsio(const udp::endpoint& endpoint)
    {
        return { endpoint.address().to_v4().to_uint(), endpoint.port() };
    }

    udp::endpoint toAsio(Endpoint endpoint)
    {
        return { asio::ip::address_v4 { endpoint.m_address }, endpoint.m_port };
    }

} // namespace

Outcome<std::shared_ptr<Tunnel>> Tunnel::open(asio::io_context& context, Endpoint listen)
{
    udp::socket socket { context };
    boost::system::error_code error;
    boost::system::error_code ignored;
    socket.open(udp::v4(), error);
    if (!error)
        socket.bind(toAsio(listen), error);
    if (error)
        return Error { ErrorKind::Unavailable,
            fmt::format("cannot bind {}: {}", formatEndpoint(listen), error.message()) };
    socket.set_option(asio::socket_base::receive_buffer_size { c_receiveBufferBytes }, ignored);
    socket.non_blocking(true, ignored);
    const Endpoint bound { listen.m_address, socket.local_endpoint().port() };
    return std::shared_ptr<Tunnel> { new Tunnel { std::move(socket), bound } };
}

void Tunnel::startReceiving(DatagramHandler& handler)
{
    asio::co_spawn(m_socket.get_executor(), receive(shared_from_this(), handler), asio::detached);
}

asio::awaitable<void> Tunnel::receive(std::shared_ptr<Tunnel> self, DatagramHandler& handler)
{
    std::vector<std::byte> buffer(c_maximumDatagramBytes);
    while (true) {
        udp::endpoint from;
        boost::system::error_code error;
        const std::size_t bytes = co_await self->m_socket.async_receive_from(
            asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error) // an ICMP error for an earlier send is reported here too
            handler.handleDatagram(std::span { buffer }.first(bytes), fromAsio(from));
    }
}

void Tunnel::send(std::span<const std::byte> datagram, Endpoint to)
{
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), toAsio(to), 0, ignored);
}

} // namespace cuminrelay::standins
