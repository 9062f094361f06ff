#pragma once

#include "configuration/Model.h"
#include "flows/OwnerMap.h"
#include "packets/Packet.h"

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

/// What one entry VM tells another about flows. An exchange is idempotent and may be repeated, lost or reordered:
/// records are keyed by flow, the rest by bucket, and all name absolute state. A receiver that has not reached
/// a version that is named takes nothing of the batch; the sender tries again later. Version 0 stands for unknown.
struct ReplicaBatch {
    std::vector<FlowRecord> m_records; ///< exceptions that the receiver must hold

    /// The receiver is the successor of these buckets and holds all their exceptions against this version.
    std::vector<Bucket> m_settled;
    ConfigVersion m_settledBase;

    /// The receiver now decides for these buckets and holds all their exceptions against this version. Version 0: the
    /// sender knows of no base, the receiver keeps its own.
    std::vector<Bucket> m_handedOver;
    ConfigVersion m_handedOverBase;

    /// The sender owns these buckets and does not hold their state yet.
    std::vector<Bucket> m_wanted;

    bool empty() const { return m_records.empty() && m_settled.empty() && m_handedOver.empty() && m_wanted.empty(); }

    friend bool operator==(const ReplicaBatch&, const ReplicaBatch&) = default;
};

} // namespace cuminrelay
