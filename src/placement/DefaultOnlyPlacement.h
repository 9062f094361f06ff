#pragma once

#include "placement/PlacementPolicy.h"

namespace cuminrelay {

/// Baseline: always the default backend server, whatever its status. Makes no overrides.
class DefaultOnlyPlacement final : public PlacementPolicy {
public:
    std::optional<Endpoint> choose(
        const PlacementRequest& request, const BackendStatusTable& backendStatuses, Instant now) override;
};

} // namespace cuminrelay
