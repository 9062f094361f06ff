#pragma once

#include <cstdint>
#include <span>

namespace cuminrelay {

/// A backend server that may take a new flow, as placement sees it.
struct FlowCandidate {
    bool m_isNear = true; ///< in the availability zone of this entry VM
    bool m_isCold = false; ///< slower than usual after its start
    std::uint16_t m_slots = 1; ///< requests that it works on at once
    std::uint32_t m_activeRequests = 0; ///< believed to be there now, as all entry VMs tell
    std::uint32_t m_longFlows = 0; ///< open there that carry one request after the other
};

/// What a new flow will bring.
struct FlowDemand {
    bool m_isLong = false; ///< one request after the other, with pauses
    std::uint64_t m_draw = 0; ///< decides between equal candidates, differently for each flow
};

/// Chooses the backend server of a new flow when the choice needs no state: the flow's packets carry it.
class FlowPlacement {
public:
    FlowPlacement() = default;
    FlowPlacement(const FlowPlacement&) = delete;
    FlowPlacement& operator=(const FlowPlacement&) = delete;
    virtual ~FlowPlacement() = default;

    /// The index of the chosen candidate. Precondition: candidates is not empty.
    virtual std::size_t choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const = 0;
};

} // namespace cuminrelay
