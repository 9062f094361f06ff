#pragma once

#include "packets/Packet.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace cuminrelay {

/// A TCP segment to build. The flags are those of netinet/tcp.h: TH_SYN, TH_ACK, ...
struct TcpSegment {
    Endpoint m_source;
    Endpoint m_destination;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgment = 0;
    std::uint8_t m_flags = 0;
    std::uint16_t m_window = 0xffff;
    std::span<const std::byte> m_payload;
};

struct UdpDatagram {
    Endpoint m_source;
    Endpoint m_destination;
    std::span<const std::byte> m_payload;
};

/// ICMP codes of destination unreachable.
enum class UnreachableCode : std::uint8_t {
    Port = 3,
    AdministrativelyProhibited = 13,
};

/// Header bytes that the builders write before the payload.
inline constexpr std::size_t c_tcpPacketHeaderBytes = 40;
inline constexpr std::size_t c_udpPacketHeaderBytes = 28;

/// Maximum size of the packets that buildReset and buildUnreachable write.
inline constexpr std::size_t c_maximumAnswerBytes = 128;

/// Each builder writes one IPv4 packet with all checksums to the start of out and returns that part of out; empty if
/// out is too small or the packet would exceed 65,535 bytes.
std::span<std::byte> buildTcpPacket(const TcpSegment& segment, std::span<std::byte> out);
std::span<std::byte> buildUdpPacket(const UdpDatagram& datagram, std::span<std::byte> out);

/// Builds the TCP reset for a caller's segment according to RFC 793: its sequence number is the segment's
/// acknowledgment; for a segment without one, the reset acknowledges the segment. Empty if parsePacket does not accept
/// the packet as TCP, or for a reset, which must not be answered.
std::span<std::byte> buildReset(std::span<const std::byte> packet, std::span<std::byte> out);

/// Builds the ICMP destination unreachable for a caller's UDP packet, with its headers quoted. Empty if parsePacket
/// does not accept the packet as UDP.
std::span<std::byte> buildUnreachable(
    std::span<const std::byte> packet, UnreachableCode code, std::span<std::byte> out);

} // namespace cuminrelay
