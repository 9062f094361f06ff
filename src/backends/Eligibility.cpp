#include "backends/Eligibility.h"

namespace cuminrelay {

Eligibility eligibilityOf(const BackendStatus* status, const BackendStatusTable& backendStatuses, Instant now)
{
    if (!status)
        return Eligibility::Undeclared;
    if (status->m_draining)
        return Eligibility::Draining;
    if (status->m_report.m_health == BackendHealth::Unhealthy)
        return Eligibility::Unhealthy;
    if (status->m_report.m_health == BackendHealth::Partitioned)
        return Eligibility::Partitioned;
    if (status->hasFreshReport(now) && status->m_report.m_shedding)
        return Eligibility::Shedding;
    // Without a fresh report, this VM's own flows are a lower bound of all connections.
    const double connections
        = status->hasFreshReport(now) ? backendStatuses.estimatedConnections(*status, now) : status->m_ownFlows;
    if (status->m_connectionLimit > 0 && connections >= status->m_connectionLimit)
        return Eligibility::ConnectionLimit;
    return Eligibility::Eligible;
}

} // namespace cuminrelay
