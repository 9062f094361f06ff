#pragma once

#include "base/Time.h"
#include "flows/FlowRecord.h"

#include <deque>
#include <map>
#include <set>

namespace cuminrelay {

/// Flow state that is still to be sent to one peer. m_flows holds hashes only: each batch makes its records from the
/// current states of the flows.
struct ReplicaOutbox {
    std::deque<FlowHash> m_flows;
    /// How many of m_flows the batch in flight covers.
    std::size_t m_inFlight = 0;
    /// Pending buckets with their base versions.
    std::map<Bucket, ConfigVersion> m_synchronized;
    std::map<Bucket, ConfigVersion> m_handedOver;
    /// Buckets that the peer has not handed over yet.
    std::set<Bucket> m_requested;
    Deadline m_nextRequestAt {};
};

} // namespace cuminrelay
