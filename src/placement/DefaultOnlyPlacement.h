#pragma once

#include "placement/PlacementPolicy.h"

namespace cuminrelay {

/// Baseline: always the default, whatever its state. Makes no exceptions.
class DefaultOnlyPlacement final : public PlacementPolicy {
public:
    std::optional<Endpoint> choose(const PlacementRequest& request, const BackendBoard& board, Instant now) override;
};

} // namespace cuminrelay
