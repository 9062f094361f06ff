#pragma once

#include "backends/BackendBoard.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace cuminrelay {

/// A new flow that wants a backend server.
struct PlacementRequest {
    std::span<const Endpoint> m_candidates; ///< every backend server of the service, sorted
    Endpoint m_default; ///< the one that the flow's hash gives; costs no state
    std::uint64_t m_flowHash = 0; ///< spreads equal choices, so that VMs do not herd
};

/// Chooses the backend server of a new flow. A choice other than the default makes the flow an exception, which costs
/// state on two entry VMs, so that a policy leaves the default only for a reason.
class PlacementPolicy {
public:
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy&) = delete;
    PlacementPolicy& operator=(const PlacementPolicy&) = delete;
    virtual ~PlacementPolicy() = default;

    /// The backend server to use, or nothing when none is eligible.
    virtual std::optional<Endpoint> choose(const PlacementRequest& request, const BackendBoard& board, Instant now) = 0;
};

} // namespace cuminrelay
