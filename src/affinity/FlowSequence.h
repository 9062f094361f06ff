#pragma once

#include <cstdint>

namespace cuminrelay {

/// Most bytes of a caller that are on the way at a time: 16 packets of 1,200 bytes.
inline constexpr std::uint32_t c_maxBytesInFlight = 16 * 1'200;

/// Bytes of a flow within which its packets are recognized by their sequence numbers. Callers start each flow at a
/// random one, so that a packet of another flow with the same addresses and ports is taken for one of this flow with a
/// probability of 0.02%. A flow that sends more before it is settled is not recognized: its packets are dropped until a
/// VM is found that sent others on.
inline constexpr std::uint32_t c_maxSequenceSpan = 1U << 20U;

/// Whether a sequence number, modulo 2^32, may be of the flow that started at another one.
constexpr bool isInFlow(std::uint32_t openingSequence, std::uint32_t sequence)
{
    return sequence - openingSequence <= c_maxSequenceSpan;
}

/// Whether a sequence number is that of the first packet after the opening packet, or of a retransmission of it.
/// Datagrams have no sequence numbers; 0 of both matches.
constexpr bool isFirstAfterOpening(std::uint32_t openingSequence, std::uint32_t sequence)
{
    return sequence - openingSequence <= 1;
}

} // namespace cuminrelay
