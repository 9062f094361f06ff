#pragma once

#include "base/Time.h"
#include "packets/Packet.h"

#include <span>

namespace cuminrelay {

/// Decides on the action for each received packet. TokenRouter serves front ends whose packets carry a token of the
/// flow's backend server, FlowRouter the others. Neither depends on a socket, a codec or a clock. Not thread-safe.
class PacketRouter {
public:
    PacketRouter() = default;
    PacketRouter(const PacketRouter&) = delete;
    PacketRouter& operator=(const PacketRouter&) = delete;
    virtual ~PacketRouter() = default;

    /// Decides on a batch: actions[i] is for packets[i].
    virtual void decide(std::span<const PacketSummary> packets, std::span<PacketAction> actions, Instant now) = 0;
};

} // namespace cuminrelay
