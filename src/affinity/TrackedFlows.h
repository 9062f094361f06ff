#pragma once

#include "affinity/BackendCatalog.h"
#include "affinity/FlowSequence.h"
#include "packets/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

namespace cuminrelay {

/// Record of a flow that passed this entry VM. Optional: a flow without a record is served too.
struct TrackedFlow {
    FlowKey m_key;
    BackendToken m_backend;
    bool m_isEstablished = false; ///< a packet after the opening packet was seen
    bool m_isLong = false; ///< carries successive requests
    bool m_isActive = false; ///< a request is assumed to be at the backend server
    bool m_isCounted = false; ///< included as a long flow in the backend server's load
    Instant m_openedAt {}; ///< when its opening packet was placed; epoch: opened elsewhere
    Instant m_recordedAt {}; ///< when the first packet of the flow passed this VM
    Instant m_activeSince {}; ///< last change of m_isActive
    Instant m_seenAt {}; ///< last packet
    Instant m_requestSentAt {}; ///< first packet of the request that is not answered yet; epoch: none seen
    std::uint32_t m_loadWhenSent = 0; ///< other requests at the backend server at m_requestSentAt, as far as known
    std::uint32_t m_openingSequence = 0; ///< of the opening packet; a lower bound unless wasOpenedHere()
    std::uint8_t m_nextCopy = 0; ///< number of the next copy of the opening packet, if all before came here
    Deadline m_uncopiedUntil {}; ///< other VMs cannot have got a copy of the opening packet before
    std::uint32_t m_sentUpTo = 0; ///< sequence number after the last data seen
    std::uint32_t m_acknowledged = 0;

    bool wasOpenedHere() const { return m_openedAt != Instant {}; }

    /// Whether a packet with the same addresses and ports may be of this flow; otherwise they have been used again.
    bool contains(std::uint32_t sequence) const { return isInFlow(m_openingSequence, sequence); }
};

struct FlowObservation {
    bool m_acknowledgesNewData = false; ///< the backend server has answered
    bool m_isRetransmission = false; ///< its data was seen before
    Instant
        m_answeredSentAt {}; ///< when the answered request was sent; epoch: no request was answered, or not seen here
    std::uint32_t m_loadWhenSent = 0; ///< other requests at the backend server at m_answeredSentAt
};

/// Flows that recently passed this entry VM, and the load of each backend server that results from them. Memory: some
/// 100 bytes a flow, bounded by the limit; flows beyond it are served untracked.
class TrackedFlows {
public:
    TrackedFlows(BackendCatalog& catalog, std::size_t limit);

    /// Returns the record of a flow, or nullptr. Valid until the next call of another member.
    TrackedFlow* find(FlowHash hash);

    /// Adds a record for an opening packet, replacing an earlier one. Returns nullptr when the limit is reached.
    TrackedFlow* open(FlowHash hash, const FlowKey& key, BackendToken backend, bool isLong, Instant now);

    /// Adds a record for a flow that was opened elsewhere, with a packet of it. Returns nullptr when the limit is
    /// reached.
    TrackedFlow* adopt(FlowHash hash, const PacketSummary& packet, BackendToken backend, bool isLong, Instant now);

    /// Records that a copy of the opening packet is forwarded; retransmission: its number, 0 for the first.
    static void recordOpening(TrackedFlow& flow, std::uint8_t retransmission, Instant now);

    /// Moves a flow, and its load, to another backend server.
    void move(TrackedFlow& flow, BackendToken backend);

    /// Applies a packet that follows the opening packet.
    FlowObservation observe(TrackedFlow& flow, const PacketSummary& packet, Instant now);

    void close(FlowHash hash);

    /// Removes and returns the records of the established flows with a request at a backend server.
    std::vector<TrackedFlow> closeActive(BackendToken backend);

    /// Removes and returns the records of idle flows; call about once a second. Cost: O(flows).
    std::vector<TrackedFlow> sweep(Instant now);

    std::size_t size() const { return m_flows.size(); }

private:
    TrackedFlow* insert(FlowHash hash, const FlowKey& key, BackendToken backend, bool isLong, Instant now);
    void setActive(TrackedFlow& flow, bool active, Instant now);
    void setCounted(TrackedFlow& flow, bool counted);
    void recordSent(TrackedFlow& flow, Instant now);
    void release(TrackedFlow& flow);

    BackendCatalog& m_catalog;
    std::size_t m_limit;
    boost::unordered_flat_map<std::uint64_t, TrackedFlow> m_flows;
};

} // namespace cuminrelay
