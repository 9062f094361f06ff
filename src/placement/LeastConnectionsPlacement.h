#pragma once

#include "placement/PlacementPolicy.h"

namespace cuminrelay {

/// Baseline: the first eligible backend server with the fewest estimated connections. Nearly every flow becomes an
/// override, and entry VMs that hold the same reports choose the same backend server until the next reports.
class LeastConnectionsPlacement final : public PlacementPolicy {
public:
    std::optional<Endpoint> choose(
        const PlacementRequest& request, const BackendStatusTable& backendStatuses, Instant now) override;
};

} // namespace cuminrelay
