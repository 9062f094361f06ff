#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "observe/Metrics.h"
#include "packets/PacketFrontEnd.h"
#include "packets/PeerPacket.h"

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <span>
#include <string_view>
#include <sys/socket.h>
#include <vector>

namespace cuminrelay {

/// Buffer size of a datagram: a caller's packet, with or without a peer packet around it. A multiple of 8.
inline constexpr std::size_t c_datagramBufferBytes = c_maximumPacketBytes + c_peerPacketOverheadBytes;

/// Opens a non-blocking UDP socket bound to the endpoint (port 0: any free port). purpose: the received packets, for
/// the error message. Errors: Unavailable.
Outcome<boost::asio::ip::udp::socket> openUdpSocket(
    const boost::asio::any_io_executor& executor, Endpoint endpoint, std::string_view purpose);

/// Throws boost::system::system_error if the socket is closed.
Endpoint localEndpoint(const boost::asio::ip::udp::socket& socket);

/// One received datagram; a view into its batch.
struct Datagram {
    Endpoint m_source;
    std::span<const std::byte> m_bytes; ///< aligned to 8 bytes
    bool m_truncated = false; ///< longer than c_datagramBufferBytes
};

/// Receives a batch of datagrams with one system call. All buffers are allocated once.
class ReceiveBatch {
public:
    ReceiveBatch();
    ReceiveBatch(const ReceiveBatch&) = delete;
    ReceiveBatch& operator=(const ReceiveBatch&) = delete;

    /// Receives the queued datagrams without blocking; returns their number, at most c_maximumBatch. Errors:
    /// Unavailable if the system call fails.
    Outcome<std::size_t> receive(int socket);

    /// A datagram of the last receive.
    Datagram datagram(std::size_t index) const;

    /// Datagrams dropped because of a full queue since the socket was opened, as of the last received one. Wraps.
    std::uint32_t queueDrops() const { return m_queueDrops; }

private:
    /// Buffer for a datagram's one control message, SO_RXQ_OVFL.
    struct alignas(cmsghdr) ControlBuffer {
        std::array<std::byte, CMSG_SPACE(sizeof(std::uint32_t))> m_bytes;
    };

    void readQueueDrops(msghdr& header);

    std::uint32_t m_queueDrops = 0;
    std::array<ControlBuffer, c_maximumBatch> m_controls {};
    std::vector<std::byte> m_buffer;
    std::array<sockaddr_in, c_maximumBatch> m_sources {};
    std::array<iovec, c_maximumBatch> m_vectors {};
    std::array<mmsghdr, c_maximumBatch> m_headers {};
};

/// Collects datagrams and sends them with one system call. All buffers are allocated once.
class SendBatch {
public:
    explicit SendBatch(Metrics& metrics);
    SendBatch(const SendBatch&) = delete;
    SendBatch& operator=(const SendBatch&) = delete;

    /// Adds a datagram. The bytes must stay valid until send. Precondition: the batch holds fewer than c_maximumBatch.
    void add(Endpoint target, std::span<const std::byte> bytes);

    /// A buffer of c_datagramBufferBytes, aligned to 8 bytes, for the next datagram to add.
    std::span<std::byte> buffer();

    /// Sends and clears the batch. Never waits: datagrams that the socket does not accept are dropped and counted.
    void send(int socket);

private:
    void countFailure(int error);

    Counter& m_wouldBlock;
    Counter& m_tooLong;
    Counter& m_failed;
    std::size_t m_count = 0;
    std::vector<std::byte> m_buffer;
    std::array<sockaddr_in, c_maximumBatch> m_targets {};
    std::array<iovec, c_maximumBatch> m_vectors {};
    std::array<mmsghdr, c_maximumBatch> m_headers {};
};

} // namespace cuminrelay
