#pragma once

#include "base/Time.h"
#include "flows/FlowRecord.h"

#include <deque>
#include <map>
#include <set>

namespace cuminrelay {

/// Flow state that is still to be sent to one peer. Holds hashes only: records are made with each batch, so that they
/// show the current state of the flow.
struct ReplicaOutbox {
    std::deque<FlowHash> m_flows;
    /// How many of m_flows the batch in flight covers.
    std::size_t m_inFlight = 0;
    std::map<Bucket, ConfigVersion> m_synchronized;
    std::map<Bucket, ConfigVersion> m_handedOver;
    /// Buckets that the peer has not handed over yet.
    std::set<Bucket> m_requested;
    Deadline m_nextRequestAt {};
};

} // namespace cuminrelay
