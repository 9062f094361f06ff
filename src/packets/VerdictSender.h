#pragma once

#include "packets/Packet.h"

#include <cstddef>
#include <span>

namespace cuminrelay {

/// Carries verdicts out. Shared by the front ends of one process; never waits and allocates nothing for a packet.
class VerdictSender {
public:
    VerdictSender() = default;
    VerdictSender(const VerdictSender&) = delete;
    VerdictSender& operator=(const VerdictSender&) = delete;
    virtual ~VerdictSender() = default;

    /// Carries out verdicts[i] on the packet that summaries[i] describes and whose bytes are packets[i].
    virtual void send(std::span<const PacketSummary> summaries, std::span<const std::span<const std::byte>> packets,
        std::span<const Verdict> verdicts)
        = 0;
};

} // namespace cuminrelay
