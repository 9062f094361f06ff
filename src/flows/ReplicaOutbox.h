#pragma once

#include "base/Time.h"
#include "flows/FlowRecord.h"

#include <deque>
#include <map>
#include <set>

namespace cuminrelay {

/// What one peer is still to be told. Flows are named only; their records are made when a batch is, so that a flow that
/// changed or ended meanwhile is told as it is then.
struct ReplicaOutbox {
    std::deque<FlowHash> m_flows;
    std::size_t m_offered = 0; ///< how many of m_flows the batch in flight covers
    std::map<Bucket, ConfigVersion> m_settled;
    std::map<Bucket, ConfigVersion> m_handedOver;
    std::set<Bucket> m_wanted; ///< buckets that the peer has not handed over yet
    Deadline m_wantAgainAt {};
};

} // namespace cuminrelay
