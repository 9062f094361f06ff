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

/// The room for each datagram of a batch: a caller's packet, in a peer packet or not. A multiple of 8.
inline constexpr std::size_t c_datagramRoom = c_maximumPacketBytes + c_peerPacketOverheadBytes;

/// Opens a UDP socket that never blocks, bound to the endpoint (port 0 takes any free one). purpose names it in the
/// message. Errors: Unavailable.
Outcome<boost::asio::ip::udp::socket> openUdpSocket(
    const boost::asio::any_io_executor& executor, Endpoint endpoint, std::string_view purpose);

/// Where a socket is bound.
Endpoint localEndpoint(const boost::asio::ip::udp::socket& socket);

/// One received datagram; a view into its batch.
struct Datagram {
    Endpoint m_source;
    std::span<const std::byte> m_bytes; ///< aligned to 8 bytes
    bool m_truncated = false; ///< it was longer than c_datagramRoom
};

/// Receives datagrams a batch at a time with one system call. All room is allocated once.
class ReceiveBatch {
public:
    ReceiveBatch();
    ReceiveBatch(const ReceiveBatch&) = delete;
    ReceiveBatch& operator=(const ReceiveBatch&) = delete;

    /// Takes what waits in the socket without blocking; returns how many datagrams came, at most c_maximumBatch.
    /// Errors: Unavailable when the system refuses.
    Outcome<std::size_t> receive(int socket);

    /// A datagram of the last receive.
    Datagram datagram(std::size_t index) const;

    /// How many datagrams the system has dropped since the socket was opened because its queue was full, as far as the
    /// datagrams received so far tell. Wraps around.
    std::uint32_t queueDrops() const { return m_queueDrops; }

private:
    /// Room for the one control message that a datagram carries.
    struct alignas(cmsghdr) ControlRoom {
        std::array<std::byte, CMSG_SPACE(sizeof(std::uint32_t))> m_bytes;
    };

    void readQueueDrops(msghdr& header);

    std::uint32_t m_queueDrops = 0;
    std::array<ControlRoom, c_maximumBatch> m_controls {};
    std::vector<std::byte> m_room;
    std::array<sockaddr_in, c_maximumBatch> m_sources {};
    std::array<iovec, c_maximumBatch> m_vectors {};
    std::array<mmsghdr, c_maximumBatch> m_headers {};
};

/// Gathers datagrams and sends them with one system call. All room is allocated once.
class SendBatch {
public:
    explicit SendBatch(Metrics& metrics);
    SendBatch(const SendBatch&) = delete;
    SendBatch& operator=(const SendBatch&) = delete;

    /// Adds a datagram. The bytes must stay valid until send. Precondition: fewer than c_maximumBatch were added.
    void add(Endpoint target, std::span<const std::byte> bytes);

    /// Room of c_datagramRoom bytes, aligned to 8, in which the next datagram to add may be built.
    std::span<std::byte> room();

    /// Sends everything that was added and forgets it. Never waits: what the socket does not take is counted.
    void send(int socket);

private:
    void countFailure(int error);

    Counter& m_wouldBlock;
    Counter& m_tooLong;
    Counter& m_failed;
    std::size_t m_count = 0;
    std::vector<std::byte> m_room;
    std::array<sockaddr_in, c_maximumBatch> m_targets {};
    std::array<iovec, c_maximumBatch> m_vectors {};
    std::array<mmsghdr, c_maximumBatch> m_headers {};
};

} // namespace cuminrelay
