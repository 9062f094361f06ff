#pragma once

#include "base/Time.h"
#include "members/Member.h"

#include <vector>

namespace cuminrelay {

/// Start options of the RPC thread of a control process.
struct ControlOptions {
    Member m_self;
    Endpoint m_entryRpc; ///< of the entry process on this VM
    std::vector<Endpoint> m_seedPeers; ///< control endpoints through which this VM joins the fleet
    Duration m_heartbeatInterval = std::chrono::milliseconds { 500 };
    std::size_t m_fullMeshLimit = 16;
    std::uint64_t m_firstSequence = 0; ///< of heartbeats; see ControlState
};

} // namespace cuminrelay
