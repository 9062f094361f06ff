#include "placement/DefaultOnlyPlacement.h"

namespace cuminrelay {

std::optional<Endpoint> DefaultOnlyPlacement::choose(
    const PlacementRequest& request, const BackendStatusTable& /*backendStatuses*/, Instant /*now*/)
{
    if (request.m_candidates.empty())
        return std::nullopt;
    return request.m_default;
}

} // namespace cuminrelay
