#pragma once

#include "affinity/BackendCatalog.h"
#include "packets/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

namespace cuminrelay {

/// What this entry VM has seen of a flow. Only an aid: a flow without a record is served all the same.
struct TrackedFlow {
    FlowKey m_key;
    BackendToken m_backend;
    bool m_isEstablished = false; ///< a packet beyond the opening was seen
    bool m_isLong = false; ///< it carries one request after the other
    bool m_isActive = false; ///< a request is believed to be at the backend server
    bool m_isCounted = false; ///< as a long flow, in the backend server's load
    Instant m_openedAt {}; ///< when its opening first came; epoch: before this VM knew it
    Instant m_activeSince {};
    Instant m_seenAt {};
    std::uint32_t m_openingSequence = 0; ///< of its opening; meaningful when that came here
    std::uint32_t m_sentUpTo = 0; ///< the sequence number after the last data seen
    std::uint32_t m_acknowledged = 0;

    bool wasOpenedHere() const { return m_openedAt != Instant {}; }
};

/// What a packet shows of its flow.
struct FlowObservation {
    bool m_isAnswer = false; ///< it acknowledges something new
    bool m_isRepetition = false; ///< its data was seen before
};

/// The flows that passed this entry VM lately, and the work at each backend server that follows from them. Memory: some
/// 100 bytes a flow, bounded by the limit; flows beyond it are served untracked.
class TrackedFlows {
public:
    TrackedFlows(BackendCatalog& catalog, std::size_t limit);

    /// The record of a flow, or nullptr. Valid until the next call of another member.
    TrackedFlow* find(FlowHash hash);

    /// Begins a record for an opening; replaces an earlier one. nullptr when the limit is reached.
    TrackedFlow* open(FlowHash hash, const FlowKey& key, BackendToken backend, bool isLong, Instant now);

    /// Begins a record for a flow that was opened elsewhere. nullptr when the limit is reached.
    TrackedFlow* adopt(FlowHash hash, const FlowKey& key, BackendToken backend, bool isLong, Instant now);

    /// Moves a flow, and the work that it means, to another backend server.
    void move(TrackedFlow& flow, BackendToken backend);

    /// Takes what a packet beyond the opening shows.
    FlowObservation observe(TrackedFlow& flow, const PacketSummary& packet, Instant now);

    /// Ends a record.
    void close(FlowHash hash);

    /// Ends the records of the flows at a backend server whose requests are believed to be there, and returns them.
    std::vector<TrackedFlow> closeActive(BackendToken backend);

    /// Ends the records of silent flows; call about once a second. Cost: O(flows).
    void sweep(Instant now);

    std::size_t size() const { return m_flows.size(); }

private:
    TrackedFlow* insert(FlowHash hash, const FlowKey& key, BackendToken backend, bool isLong, Instant now);
    void setActive(TrackedFlow& flow, bool active, Instant now);
    void setCounted(TrackedFlow& flow, bool counted);
    void release(TrackedFlow& flow);

    BackendCatalog& m_catalog;
    std::size_t m_limit;
    boost::unordered_flat_map<std::uint64_t, TrackedFlow> m_flows;
};

} // namespace cuminrelay
