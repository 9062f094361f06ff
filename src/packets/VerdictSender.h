#pragma once

#include "packets/Packet.h"

#include <cstddef>
#include <span>

namespace cuminrelay {

/// Executes actions. Shared by the front ends of one process; never waits and allocates no memory per packet.
class VerdictSender {
public:
    VerdictSender() = default;
    VerdictSender(const VerdictSender&) = delete;
    VerdictSender& operator=(const VerdictSender&) = delete;
    virtual ~VerdictSender() = default;

    /// Executes actions[i] on the packet with the summary summaries[i] and the bytes packets[i].
    virtual void send(std::span<const PacketSummary> summaries, std::span<const std::span<const std::byte>> packets,
        std::span<const Verdict> verdicts)
        = 0;
};

} // namespace cuminrelay
