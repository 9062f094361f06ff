#include "placement/LeastConnectionsPlacement.h"

#include "backends/Eligibility.h"

namespace cuminrelay {

std::optional<Endpoint> LeastConnectionsPlacement::choose(
    const PlacementRequest& request, const BackendStatusTable& backendStatuses, Instant now)
{
    std::optional<Endpoint> best;
    double fewest = 0;
    for (const Endpoint candidate : request.m_candidates) {
        const BackendStatus* const status = backendStatuses.find(candidate);
        if (eligibilityOf(status, backendStatuses, now) != Eligibility::Eligible)
            continue;
        const double connections = backendStatuses.estimatedConnections(*status, now);
        if (best && connections >= fewest)
            continue;
        best = candidate;
        fewest = connections;
    }
    return best;
}

} // namespace cuminrelay
