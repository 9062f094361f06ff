#pragma once

#include <cstdint>
#include <span>

namespace cuminrelay {

/// Placement's input for a backend server that may take a new flow.
struct FlowCandidate {
    bool m_isInLocalZone = true; ///< in the availability zone of this entry VM
    double m_workFactor = 1; ///< by which its work is expected to take longer than that of its peers
    double m_addedRequests = 0; ///< counted in addition to the active ones
    double m_share
        = 0; ///< of the new flows, as a multiple of an even share, whatever its load; 0: as its load suggests
    std::uint16_t m_slots = 1; ///< requests processed concurrently
    std::uint32_t m_activeRequests = 0; ///< current estimate from the load messages of all entry VMs
    std::uint32_t m_longFlows = 0; ///< open flows that carry requests in sequence
};

/// Expected demand of a new flow.
struct FlowDemand {
    bool m_isLong = false; ///< carries requests in sequence, with pauses
    std::uint64_t m_draw = 0; ///< random value that breaks ties between equal candidates
};

/// Chooses the backend server of a new flow whose packets carry the choice, so that no state is needed.
class FlowPlacement {
public:
    FlowPlacement() = default;
    FlowPlacement(const FlowPlacement&) = delete;
    FlowPlacement& operator=(const FlowPlacement&) = delete;
    virtual ~FlowPlacement() = default;

    /// Returns the index of the chosen candidate. Precondition: candidates is not empty.
    virtual std::size_t choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const = 0;
};

} // namespace cuminrelay
