#pragma once

#include "base/Time.h"
#include "packets/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>

namespace cuminrelay {

/// Flows that the state of this VM says to reset although this VM has no record of them. A stale state says so of flows
/// that other VMs opened under a later one. A reset therefore waits until the state is confirmed as of a time after the
/// flow's first packet here; the caller retransmits meanwhile. Memory: some 24 bytes a flow, up to s_maxFlows.
class PendingResets {
public:
    static constexpr std::size_t s_maxFlows = 10'000;

    /// Whether the flow of a packet may be reset, with a state that is confirmed as of confirmedAt. Always false for
    /// new flows beyond the limit.
    bool mayReset(FlowHash flow, Instant confirmedAt, Instant now);

    /// Permits to reset a flow from its next packet on.
    void permit(FlowHash flow, Instant now);

    /// Removes flows without a packet for longer than callers take to retransmit; call about once a second. Cost:
    /// O(flows).
    void sweep(Instant now);

    /// How many times a flow was not recorded because of the limit.
    std::uint64_t refused() const { return m_refused; }

private:
    struct PendingReset {
        Instant m_firstSeenAt {};
        Instant m_lastSeenAt {};
    };

    boost::unordered_flat_map<std::uint64_t, PendingReset> m_flows;
    std::uint64_t m_refused = 0;
};

} // namespace cuminrelay
