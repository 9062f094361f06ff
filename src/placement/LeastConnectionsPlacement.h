#pragma once

#include "placement/PlacementPolicy.h"

namespace cuminrelay {

/// Baseline: the eligible backend server with the fewest estimated connections, the first of equals. Nearly every flow
/// becomes an exception, and entry VMs that hold the same reports choose the same backend server until the next ones.
class LeastConnectionsPlacement final : public PlacementPolicy {
public:
    std::optional<Endpoint> choose(const PlacementRequest& request, const BackendBoard& board, Instant now) override;
};

} // namespace cuminrelay
