#pragma once

#include "configuration/Model.h"
#include "flows/OwnerMap.h"
#include "packets/Packet.h"

#include <cstdint>
#include <vector>

namespace cuminrelay {

/// An override (a flow that is not on its default backend server) as an owner replicates it.
struct FlowRecord {
    FlowHash m_flow;
    Endpoint m_backend;
    /// The flow has ended; the receiver removes it.
    bool m_ended = false;

    friend bool operator==(const FlowRecord&, const FlowRecord&) = default;
};

/// Flow state that one entry VM sends to another. An exchange is idempotent and may be repeated, lost or reordered:
/// records are keyed by flow, the other fields by bucket, and all hold absolute state. A receiver whose configuration
/// is older than a version of the batch rejects the batch; the sender retries later. Version 0: unknown.
struct ReplicaBatch {
    /// Overrides that the receiver must hold.
    std::vector<FlowRecord> m_records;

    /// Buckets whose successor is the receiver, which then holds all their overrides against m_synchronizedBase.
    std::vector<Bucket> m_synchronized;
    ConfigVersion m_synchronizedBase;

    /// Buckets whose packets the receiver routes from now on; it holds all their overrides against m_handedOverBase.
    /// Version 0, as from an interim owner: the receiver keeps its own base version.
    std::vector<Bucket> m_handedOver;
    ConfigVersion m_handedOverBase;

    /// Buckets that the sender owns and whose state it requests from the receiver.
    std::vector<Bucket> m_requested;

    bool empty() const
    {
        return m_records.empty() && m_synchronized.empty() && m_handedOver.empty() && m_requested.empty();
    }

    friend bool operator==(const ReplicaBatch&, const ReplicaBatch&) = default;
};

} // namespace cuminrelay
