#include "placement/DefaultOnlyPlacement.h"

namespace cuminrelay {

std::optional<Endpoint> DefaultOnlyPlacement::choose(
    const PlacementRequest& request, const BackendBoard& /*board*/, Instant /*now*/)
{
    if (request.m_candidates.empty())
        return std::nullopt;
    return request.m_default;
}

} // namespace cuminrelay
