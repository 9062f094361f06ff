#pragma once

#include "base/Time.h"
#include "members/Member.h"

#include <vector>

namespace cuminrelay {

/// What the RPC side of a control process needs to know at start.
struct ControlOptions {
    Member m_self;
    Endpoint m_entryRpc; ///< the own entry process
    std::vector<Endpoint> m_seedPeers; ///< control endpoints that are beaten to before anybody is known
    Duration m_heartbeatInterval = std::chrono::milliseconds { 500 };
    std::size_t m_fullMeshLimit = 16;
    std::uint64_t m_firstSequence = 0; ///< of heartbeats; see ControlState
};

} // namespace cuminrelay
