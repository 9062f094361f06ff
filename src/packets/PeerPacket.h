#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "packets/Packet.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace cuminrelay {

/// A caller's packet that one entry VM hands to another.
struct PeerPacket {
    Arrival m_arrival = Arrival::AskOwner; ///< never Fabric
    std::uint8_t m_hops = 0; ///< peers that it went through, the receiver included
    Endpoint m_backend; ///< the owner's choice; only with Arrival::Record
    std::span<const std::byte> m_packet; ///< the caller's IPv4 packet; a view
};

/// What the encoding adds to the caller's packet, at most.
inline constexpr std::size_t c_peerPacketOverheadBytes = 64;

/// Encodes a packet as one datagram to the front of out and returns the part that it wrote; empty when out is shorter
/// than the caller's packet and c_peerPacketOverheadBytes. out must be aligned to 8 bytes. Allocates nothing.
std::span<std::byte> encodePeerPacket(const PeerPacket& packet, std::span<std::byte> out);

/// Decodes a datagram that came from another entry VM; the result's bytes lie inside it. The datagram must be aligned
/// to 8 bytes. Fails with InvalidInput for anything that encodePeerPacket would not write.
Outcome<PeerPacket> decodePeerPacket(std::span<const std::byte> datagram);

} // namespace cuminrelay
