#pragma once

#include "packets/Packet.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace cuminrelay {

/// The values of a TCP segment to build. The flags are those of netinet/tcp.h: TH_SYN, TH_ACK, ...
struct TcpSegment {
    Endpoint m_source;
    Endpoint m_destination;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgment = 0;
    std::uint8_t m_flags = 0;
    std::uint16_t m_window = 0xffff;
    std::span<const std::byte> m_payload;
};

/// The values of a UDP datagram to build.
struct UdpDatagram {
    Endpoint m_source;
    Endpoint m_destination;
    std::span<const std::byte> m_payload;
};

/// Why a datagram is unreachable, as ICMP says it.
enum class UnreachableCode : std::uint8_t {
    Port = 3,
    AdministrativelyProhibited = 13,
};

/// The bytes of headers that the builders put before a payload.
inline constexpr std::size_t c_tcpPacketHeaderBytes = 40;
inline constexpr std::size_t c_udpPacketHeaderBytes = 28;

/// Enough room for any answer that buildReset and buildUnreachable write.
inline constexpr std::size_t c_maximumAnswerBytes = 128;

/// Each builder writes one IPv4 packet with all checksums to the front of out and returns the part that it wrote; the
/// part is empty when out is too small or the packet would not fit into 65,535 bytes.
std::span<std::byte> buildTcpPacket(const TcpSegment& segment, std::span<std::byte> out);
std::span<std::byte> buildUdpPacket(const UdpDatagram& datagram, std::span<std::byte> out);

/// The TCP reset that answers a caller's segment as RFC 793 asks: with the segment's acknowledgment as its sequence, or
/// acknowledging the segment when it acknowledges nothing. Empty when the packet is no TCP segment that parsePacket
/// takes, or is itself a reset, which must not be answered.
std::span<std::byte> buildReset(std::span<const std::byte> packet, std::span<std::byte> out);

/// The ICMP destination unreachable that answers a caller's UDP packet, quoting its headers. Empty when the packet is
/// no UDP datagram that parsePacket takes.
std::span<std::byte> buildUnreachable(
    std::span<const std::byte> packet, UnreachableCode code, std::span<std::byte> out);

} // namespace cuminrelay
