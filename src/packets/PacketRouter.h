#pragma once

#include "base/Time.h"
#include "packets/Packet.h"

#include <span>

namespace cuminrelay {

/// Decides what becomes of each packet that reaches this entry VM. Which implementation serves depends on what the
/// front end's packets can carry: TokenRouter where they carry the flow's backend server, FlowRouter where they carry
/// nothing. Neither knows a socket, a codec or a clock; one thread at a time.
class PacketRouter {
public:
    PacketRouter() = default;
    PacketRouter(const PacketRouter&) = delete;
    PacketRouter& operator=(const PacketRouter&) = delete;
    virtual ~PacketRouter() = default;

    /// Decides on a batch: verdicts[i] answers packets[i].
    virtual void decide(std::span<const PacketSummary> packets, std::span<Verdict> verdicts, Instant now) = 0;
};

} // namespace cuminrelay
