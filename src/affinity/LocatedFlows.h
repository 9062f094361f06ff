#pragma once

#include "affinity/Backend.h"
#include "affinity/ContestedFlows.h"
#include "affinity/TrackedFlows.h"
#include "base/Time.h"
#include "packets/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cuminrelay {

/// Where a flow that passed this VM is open.
struct LocatedFlow {
    std::uint32_t m_openingSequence = 0; ///< of the opening packet; a lower bound unless m_wasOpenedHere
    bool m_wasOpenedHere = false; ///< its opening packet passed this VM
    BackendToken m_backend;
    Instant m_recordedAt {}; ///< when the first packet of the flow passed this VM

    /// Whether a contested flow may be this one.
    bool mayBe(const ContestedFlow& contested) const;

    /// Of a record; nullopt if no packet after the opening has passed this VM.
    static std::optional<LocatedFlow> of(const TrackedFlow& record);
};

/// Remembers where flows are open that passed this VM, for their lifetime. TrackedFlows forgets a flow within seconds
/// of its last packet, as another VM may count its load by then. Memory: up to s_maxFlows entries.
class LocatedFlows {
public:
    /// Four times the flows that a VM sees within their lifetime at 45,000 new ones a second over 700 VMs.
    static constexpr std::size_t s_maxFlows = 16'384;

    void record(FlowHash flow, const LocatedFlow& located, Instant now);

    /// Where the flow of a packet with a sequence number is open; nullptr if unknown. Valid until the next call of
    /// another member.
    const LocatedFlow* find(FlowHash flow, std::uint32_t sequence) const;

    /// Where the flow was open that last had these addresses and ports.
    const LocatedFlow* findLast(FlowHash flow) const;

    /// Removes flows after their maximum lifetime; call about once a second. Cost: O(flows).
    void sweep(Instant now);

    std::size_t size() const { return m_flows.size(); }

private:
    struct Entry {
        LocatedFlow m_located;
        Deadline m_expiresAt {};
    };

    boost::unordered_flat_map<std::uint64_t, Entry> m_flows;
};

} // namespace cuminrelay
