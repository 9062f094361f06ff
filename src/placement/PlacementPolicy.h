#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace cuminrelay {

/// A new flow that needs a backend server.
struct PlacementRequest {
    std::span<const Endpoint> m_candidates; ///< all backend servers of the service, sorted
    Endpoint m_default; ///< the backend server that the flow's hash selects; needs no state
    std::uint64_t m_flowHash = 0; ///< spreads flows over equal candidates, so that VMs do not all choose the same one
};

/// Chooses the backend server of a new flow. A choice other than the default makes the flow an override, which costs
/// state on two entry VMs; a policy therefore leaves the default only for a reason.
class PlacementPolicy {
public:
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy&) = delete;
    PlacementPolicy& operator=(const PlacementPolicy&) = delete;
    virtual ~PlacementPolicy() = default;

    /// Returns the chosen backend server, or nothing when none is eligible.
    virtual std::optional<Endpoint> choose(
        const PlacementRequest& request, const BackendStatusTable& backendStatuses, Instant now)
        = 0;
};

} // namespace cuminrelay
