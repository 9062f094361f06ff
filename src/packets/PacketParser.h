#pragma once

#include "packets/Packet.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/std_result.hpp>
#include <cstddef>
#include <span>

namespace cuminrelay {

/// A parsed packet, or the reason why it cannot be forwarded.
using ParsedPacket = boost::outcome_v2::basic_result<PacketSummary, Reason, boost::outcome_v2::policy::all_narrow>;

/// Parses one IPv4 packet with TCP or UDP inside; it must fill the bytes exactly. Verifies the header checksum, the
/// lengths and the TCP flags, but not the payload checksum, which the backend server verifies. Errors: Malformed,
/// Truncated, Fragment, UnsupportedProtocol. The result's arrival is Fabric.
ParsedPacket parsePacket(std::span<const std::byte> packet);

/// The Internet checksum (RFC 1071) of the bytes, added to a partial sum of 16-bit words. In host byte order; zero
/// over a range that contains its own valid checksum.
std::uint16_t internetChecksum(std::span<const std::byte> bytes, std::uint32_t partialSum = 0);

} // namespace cuminrelay
