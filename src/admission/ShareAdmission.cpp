#include "admission/ShareAdmission.h"

#include "backends/Eligibility.h"
#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cuminrelay {

namespace {

    // Estimates of removed services stay; at this number all estimates are discarded and restart from reports.
    constexpr std::size_t c_maximumServices = 4096;

    /// Free connections of the backend servers of a service.
    struct FreeConnections {
        double m_reported = 0;
        double m_now = 0; ///< after the estimated change since the reports
        bool m_isLimited = true; ///< all have a connection limit
        bool m_anyBackend = false;
    };

    FreeConnections sumFreeConnections(
        std::span<const Endpoint> candidates, const BackendStatusTable& backendStatuses, Instant now)
    {
        FreeConnections free;
        for (const Endpoint backend : candidates) {
            const BackendStatus* const status = backendStatuses.find(backend);
            const Eligibility eligibility = eligibilityOf(status, backendStatuses, now);
            // A backend server at its limit still counts: its estimated excess offsets room overestimated at others.
            if (eligibility != Eligibility::Eligible && eligibility != Eligibility::ConnectionLimit)
                continue;
            free.m_anyBackend = true;
            free.m_isLimited = free.m_isLimited && status->m_connectionLimit > 0;
            const double reported = status->hasFreshReport(now) ? status->m_report.m_connections : 0;
            const double room = std::max(0.0, status->m_connectionLimit - reported);
            free.m_reported += room;
            free.m_now += room - (backendStatuses.estimatedConnections(*status, now) - reported);
        }
        return free;
    }

    std::uint64_t serviceKey(std::span<const Endpoint> candidates)
    {
        std::uint64_t key = candidates.size();
        for (const Endpoint backend : candidates)
            key = hashPair(key, backend.packed());
        return key;
    }

} // namespace

Admission ShareAdmission::admit(std::span<const Endpoint> candidates, const BackendStatusTable& backendStatuses,
    std::size_t ownerCount, Instant now)
{
    const double scale = static_cast<double>(ownerCount);
    const FreeConnections free = sumFreeConnections(candidates, backendStatuses, now);
    if (!free.m_anyBackend)
        return Admission::QueueFull;
    if (free.m_isLimited && free.m_now < scale)
        return free.m_reported < scale ? Admission::QueueFull : Admission::ShareUsed;

    ServiceLoadEstimate& load = estimateFor(candidates);
    load.update(sumReports(candidates, backendStatuses, now), scale);
    const double maximumWait = maximumMeanWait(load, scale);
    if (load.expectedWait(now).value_or(0) > maximumWait)
        return load.reportedWait().value_or(0) > maximumWait ? Admission::QueueFull : Admission::ShareUsed;
    load.recordAdmitted(scale, now);
    return Admission::Admitted;
}

double ShareAdmission::maximumMeanWait(const ServiceLoadEstimate& load, double scale) const
{
    const double maximumWait = std::chrono::duration<double>(m_parameters.m_maximumWait).count();
    // With s seconds per flow, a backend server processes n queued flows in n * s, with a deviation of sqrt(n) * s.
    const double spread = std::sqrt(maximumWait * load.slotSecondsPerBackend());
    const double spreadWait = maximumWait - m_parameters.m_spreadFactor * spread;
    const double minimumWait = m_parameters.m_minimumShare * scale * load.secondsPerFlow();
    return std::max({ maximumWait / 4, spreadWait, minimumWait });
}

ServiceLoadEstimate& ShareAdmission::estimateFor(std::span<const Endpoint> candidates)
{
    if (m_estimates.size() >= c_maximumServices)
        m_estimates.clear();
    return m_estimates[serviceKey(candidates)];
}

} // namespace cuminrelay
