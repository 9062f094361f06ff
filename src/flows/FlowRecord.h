#pragma once

#include "configuration/Model.h"
#include "flows/OwnerMap.h"
#include "flows/Packet.h"

#include <cstdint>
#include <vector>

namespace cuminrelay {

/// One exception as an owner copies it to its replica: a flow that is not on its default backend server.
struct FlowRecord {
    FlowHash m_flow;
    Endpoint m_backend;
    bool m_ended = false; ///< the flow is over: forget it

    friend bool operator==(const FlowRecord&, const FlowRecord&) = default;
};

/// One bucket whose exceptions have all been copied, and the configuration version that its other flows are on.
struct BucketBase {
    Bucket m_bucket = 0;
    ConfigVersion m_base;

    friend bool operator==(const BucketBase&, const BucketBase&) = default;
};

/// What one entry VM tells another about flows. An exchange is idempotent and may be repeated, lost or reordered:
/// records are keyed by flow, bases and handovers by bucket, and the fields name absolute state.
struct ReplicaBatch {
    std::vector<FlowRecord> m_records; ///< exceptions that the receiver must hold
    std::vector<BucketBase> m_bases; ///< for a replica: all exceptions of the bucket against this base were sent
    std::vector<BucketBase> m_handedOver; ///< the receiver now decides for these buckets; all exceptions were sent
    std::vector<Bucket> m_wanted; ///< the sender owns these buckets and does not hold their state yet

    bool empty() const { return m_records.empty() && m_bases.empty() && m_handedOver.empty() && m_wanted.empty(); }
};

} // namespace cuminrelay
