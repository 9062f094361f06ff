#include "admission/ShareAdmission.h"

#include "backends/Eligibility.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// What the backend servers of a service that take new flows have left.
    struct ServiceCapacity {
        double m_reportedFreeConnections = 0;
        double m_freeConnections = 0; ///< after what was admitted since the reports
        double m_reportedBacklog = 0;
        double m_backlog = 0; ///< with what was admitted since the reports
        double m_flowsPerSecond = 0;
        std::size_t m_backends = 0;
        std::size_t m_withKnownRate = 0;
        bool m_isConnectionLimited = true;
    };

    /// One at its connection limit still counts: its overdraft by the estimate is another's room.
    bool takesNewFlows(Eligibility eligibility)
    {
        return eligibility == Eligibility::Eligible || eligibility == Eligibility::ConnectionLimit;
    }

    void addConnections(ServiceCapacity& capacity, const BackendStatus& status, const BackendBoard& board, Instant now)
    {
        if (status.m_connectionLimit == 0)
            capacity.m_isConnectionLimited = false;
        const double reported = status.hasFreshReport(now) ? status.m_report.m_connections : 0;
        const double free = std::max(0.0, status.m_connectionLimit - reported);
        capacity.m_reportedFreeConnections += free;
        capacity.m_freeConnections += free - (board.estimatedConnections(status, now) - reported);
    }

    void addSlots(ServiceCapacity& capacity, Endpoint backend, const BackendStatus& status, const BackendBoard& board,
        Instant now)
    {
        const std::optional<double> rate = board.flowsPerSecond(backend);
        if (!rate)
            return;
        ++capacity.m_withKnownRate;
        capacity.m_flowsPerSecond += *rate;
        capacity.m_backlog += board.estimatedBacklog(backend, now);
        if (status.hasFreshReport(now))
            capacity.m_reportedBacklog += status.m_report.m_busySlots + status.m_report.m_queued;
    }

    ServiceCapacity sumCapacity(std::span<const Endpoint> candidates, const BackendBoard& board, Instant now)
    {
        ServiceCapacity capacity;
        for (const Endpoint backend : candidates) {
            const BackendStatus* const status = board.find(backend);
            if (!takesNewFlows(eligibilityOf(status, board, now)))
                continue;
            ++capacity.m_backends;
            addConnections(capacity, *status, board, now);
            addSlots(capacity, backend, *status, board, now);
        }
        return capacity;
    }

} // namespace

Admission ShareAdmission::admit(
    std::span<const Endpoint> candidates, const BackendBoard& board, std::size_t ownerCount, Instant now)
{
    const ServiceCapacity capacity = sumCapacity(candidates, board, now);
    if (capacity.m_backends == 0)
        return Admission::QueueFull;
    const double share = static_cast<double>(ownerCount);
    if (capacity.m_isConnectionLimited && capacity.m_freeConnections < share)
        return capacity.m_reportedFreeConnections < share ? Admission::QueueFull : Admission::ShareUsed;
    // With the slot time of most backend servers unknown, a wait would be a guess.
    if (2 * capacity.m_withKnownRate < capacity.m_backends)
        return Admission::Admitted;
    const double maximumWait = std::chrono::duration<double>(m_parameters.m_maximumWait).count();
    const double room = maximumWait * capacity.m_flowsPerSecond;
    if (capacity.m_backlog <= room)
        return Admission::Admitted;
    return capacity.m_reportedBacklog > room ? Admission::QueueFull : Admission::ShareUsed;
}

} // namespace cuminrelay
