#pragma once

#include "packets/Packet.h"

#include <cstddef>
#include <span>

namespace cuminrelay {

/// Forwards, answers or drops packets as decided. Shared by the front ends of one process; never waits and allocates no
/// memory per packet.
class ActionExecutor {
public:
    ActionExecutor() = default;
    ActionExecutor(const ActionExecutor&) = delete;
    ActionExecutor& operator=(const ActionExecutor&) = delete;
    virtual ~ActionExecutor() = default;

    /// Executes actions[i] on the packet with summaries[i] and the bytes packets[i].
    virtual void send(std::span<const PacketSummary> summaries, std::span<const std::span<const std::byte>> packets,
        std::span<const PacketAction> actions)
        = 0;
};

} // namespace cuminrelay
