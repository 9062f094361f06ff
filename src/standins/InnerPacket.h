#pragma once

#include "base/Endpoint.h"
#include "standins/TcpConnection.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cuminrelay::standins {

enum class InnerKind : std::uint8_t {
    Tcp,
    Udp,
    Unreachable, ///< ICMP destination unreachable for the quoted datagram
};

/// One decapsulated IPv4 packet of a caller or backend server. packets/PacketParser.h parses only packets of callers;
/// decodeInnerPacket() also parses the answers: SYN-ACK and ICMP.
struct InnerPacket {
    InnerKind m_kind = InnerKind::Tcp;
    Endpoint m_source; ///< of the quoted datagram for Unreachable
    Endpoint m_destination; ///< of the quoted datagram for Unreachable
    Segment m_segment; ///< Tcp only
    std::string m_payload; ///< Udp only
};

/// Parses a packet and verifies its checksums, as a kernel does; nullopt for invalid packets and other protocols.
std::optional<InnerPacket> decodeInnerPacket(std::span<const std::byte> packet);

/// Maximum size of the packets that the test doubles send.
inline constexpr std::size_t c_maximumInnerBytes = 2048;

/// Both write one packet to the front of out and return the written part, empty when out is too small.
std::span<std::byte> encodeSegment(
    Endpoint source, Endpoint destination, const Segment& segment, std::span<std::byte> out);
std::span<std::byte> encodeDatagram(
    Endpoint source, Endpoint destination, std::string_view payload, std::span<std::byte> out);

} // namespace cuminrelay::standins
