#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "packets/Packet.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace cuminrelay {

/// A caller's packet that one entry VM forwards to another.
struct PeerPacket {
    Arrival m_arrival = Arrival::ForwardToOwner; ///< never Fabric
    std::uint8_t m_hops = 0; ///< entry VMs that forwarded the packet, including the sender
    Endpoint m_backend; ///< the owner's choice; only with Arrival::Record
    std::span<const std::byte> m_packet; ///< the caller's IPv4 packet; a view
};

/// Maximum number of bytes that the encoding adds to the caller's packet.
inline constexpr std::size_t c_peerPacketOverheadBytes = 64;

/// Encodes a packet as one datagram to the start of out and returns that part of out; empty if out is too small. out
/// must be aligned to 8 bytes. Allocates no memory.
std::span<std::byte> encodePeerPacket(const PeerPacket& packet, std::span<std::byte> out);

/// Decodes a datagram from another entry VM; the result is a view into it. The datagram must be aligned to 8 bytes.
/// Errors: InvalidInput if encodePeerPacket would not write the datagram.
Outcome<PeerPacket> decodePeerPacket(std::span<const std::byte> datagram);

} // namespace cuminrelay
