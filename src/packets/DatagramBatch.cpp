#include "packets/DatagramBatch.h"

#include "base/Assert.h"

#include <arpa/inet.h>
#include <boost/asio/ip/address_v4.hpp>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;
    using asio::ip::udp;

    constexpr int c_socketBufferBytes = 4 << 20; // the system may limit it

    sockaddr_in toSystemAddress(Endpoint endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(endpoint.m_address);
        address.sin_port = htons(endpoint.m_port);
        return address;
    }

    Endpoint fromSystemAddress(const sockaddr_in& address)
    {
        return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
    }

    std::span<std::byte> slot(std::vector<std::byte>& buffer, std::size_t index)
    {
        return std::span { buffer }.subspan(index * c_datagramBufferBytes, c_datagramBufferBytes);
    }

} // namespace

Outcome<udp::socket> openUdpSocket(const asio::any_io_executor& executor, Endpoint endpoint, std::string_view purpose)
{
    udp::socket socket { executor };
    boost::system::error_code error;
    socket.open(udp::v4(), error);
    if (!error)
        socket.non_blocking(true, error);
    if (!error)
        socket.bind({ asio::ip::address_v4 { endpoint.m_address }, endpoint.m_port }, error);
    if (error)
        return Error { ErrorKind::Unavailable,
            fmt::format("cannot receive {} on UDP {}: {}", purpose, formatEndpoint(endpoint), error.message()) };
    const int reportQueueDrops = 1;
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RXQ_OVFL, &reportQueueDrops, sizeof reportQueueDrops);
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size { c_socketBufferBytes }, ignored);
    socket.set_option(asio::socket_base::send_buffer_size { c_socketBufferBytes }, ignored);
    return socket;
}

Endpoint localEndpoint(const udp::socket& socket)
{
    const udp::endpoint local = socket.local_endpoint();
    return { local.address().to_v4().to_uint(), local.port() };
}

ReceiveBatch::ReceiveBatch()
    : m_buffer(c_maximumBatch * c_datagramBufferBytes)
{
    for (std::size_t i = 0; i < c_maximumBatch; ++i) {
        m_vectors[i] = { slot(m_buffer, i).data(), c_datagramBufferBytes };
        m_headers[i].msg_hdr.msg_name = &m_sources[i];
        m_headers[i].msg_hdr.msg_iov = &m_vectors[i];
        m_headers[i].msg_hdr.msg_iovlen = 1;
    }
}

Outcome<std::size_t> ReceiveBatch::receive(int socket)
{
    for (std::size_t i = 0; i < c_maximumBatch; ++i) {
        msghdr& header = m_headers[i].msg_hdr;
        header.msg_namelen = sizeof(sockaddr_in);
        header.msg_control = m_controls[i].m_bytes.data();
        header.msg_controllen = m_controls[i].m_bytes.size();
        header.msg_flags = 0;
    }
    const int received = recvmmsg(socket, m_headers.data(), m_headers.size(), MSG_DONTWAIT, nullptr);
    if (received > 0)
        readQueueDrops(m_headers[static_cast<std::size_t>(received) - 1].msg_hdr);
    if (received >= 0)
        return static_cast<std::size_t>(received);
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
        return std::size_t { 0 };
    return Error { ErrorKind::Unavailable, fmt::format("recvmmsg failed: {}", std::strerror(errno)) };
}

void ReceiveBatch::readQueueDrops(msghdr& header)
{
    for (cmsghdr* control = CMSG_FIRSTHDR(&header); control; control = CMSG_NXTHDR(&header, control)) {
        if (control->cmsg_level == SOL_SOCKET && control->cmsg_type == SO_RXQ_OVFL)
            std::memcpy(&m_queueDrops, CMSG_DATA(control), sizeof m_queueDrops);
    }
}

Datagram ReceiveBatch::datagram(std::size_t index) const
{
    const mmsghdr& header = m_headers[index];
    const std::span<const std::byte> buffer
        = std::span { m_buffer }.subspan(index * c_datagramBufferBytes, c_datagramBufferBytes);
    return { fromSystemAddress(m_sources[index]), buffer.first(header.msg_len),
        (header.msg_hdr.msg_flags & MSG_TRUNC) != 0 };
}

SendBatch::SendBatch(Metrics& metrics)
    : m_wouldBlock(metrics.counter("cuminrelay_send_failures_total", "would_block"))
    , m_tooLong(metrics.counter("cuminrelay_send_failures_total", "too_long"))
    , m_failed(metrics.counter("cuminrelay_send_failures_total", "refused_by_system"))
    , m_buffer(c_maximumBatch * c_datagramBufferBytes)
{
    for (std::size_t i = 0; i < c_maximumBatch; ++i) {
        m_headers[i].msg_hdr.msg_name = &m_targets[i];
        m_headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        m_headers[i].msg_hdr.msg_iov = &m_vectors[i];
        m_headers[i].msg_hdr.msg_iovlen = 1;
    }
}

void SendBatch::add(Endpoint target, std::span<const std::byte> bytes)
{
    CR_ASSERT(m_count < c_maximumBatch, "a batch must not exceed c_maximumBatch datagrams");
    m_targets[m_count] = toSystemAddress(target);
    // sendmmsg does not write to the buffer; iovec is not const because recvmmsg uses it too.
    m_vectors[m_count] = { const_cast<std::byte*>(bytes.data()), bytes.size() };
    ++m_count;
}

std::span<std::byte> SendBatch::buffer()
{
    CR_ASSERT(m_count < c_maximumBatch, "a batch must not exceed c_maximumBatch datagrams");
    return slot(m_buffer, m_count);
}

void SendBatch::send(int socket)
{
    std::size_t done = 0;
    while (done < m_count) {
        const int sent = sendmmsg(socket, m_headers.data() + done, static_cast<unsigned>(m_count - done), MSG_DONTWAIT);
        if (sent > 0) {
            done += static_cast<std::size_t>(sent);
            continue;
        }
        if (errno == EINTR)
            continue;
        countFailure(errno);
        ++done; // sendmmsg reports the error of its first datagram
    }
    m_count = 0;
}

void SendBatch::countFailure(int error)
{
    if (error == EAGAIN || error == EWOULDBLOCK || error == ENOBUFS)
        m_wouldBlock.add();
    else if (error == EMSGSIZE)
        m_tooLong.add();
    else
        m_failed.add();
}

} // namespace cuminrelay
