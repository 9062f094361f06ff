#include "admission/ServiceLoadEstimate.h"

#include "backends/Eligibility.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr double c_slotTimeDecaySeconds = 10;
    constexpr double c_minimumCompletedFlows = 20;
    constexpr Duration c_slotTimeUpdateInterval = std::chrono::seconds { 1 };

    double secondsOf(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

void SlotTimeEstimate::add(Duration interval, double meanBusySlots, double completedFlows)
{
    const double seconds = secondsOf(interval);
    const double kept = std::exp(-seconds / c_slotTimeDecaySeconds);
    m_busySeconds = kept * m_busySeconds + seconds * meanBusySlots;
    m_completedFlows = kept * m_completedFlows + std::max(0.0, completedFlows);
}

double SlotTimeEstimate::seconds() const
{
    return m_completedFlows < c_minimumCompletedFlows ? 0 : m_busySeconds / m_completedFlows;
}

void BacklogEstimate::add(double flows, double flowsPerSecond, Instant now)
{
    m_flows = at(flowsPerSecond, now) + flows;
    m_updatedAt = std::max(m_updatedAt, now);
}

void BacklogEstimate::reset(double flows, Instant measuredAt)
{
    m_flows = flows;
    m_updatedAt = measuredAt;
}

double BacklogEstimate::at(double flowsPerSecond, Instant now) const
{
    if (m_flows <= 0 || now <= m_updatedAt)
        return m_flows;
    return std::max(0.0, m_flows - flowsPerSecond * secondsOf(now - m_updatedAt));
}

ReportedLoad sumReports(std::span<const Endpoint> candidates, const BackendStatusTable& backendStatuses, Instant now)
{
    ReportedLoad sum;
    Duration measuredAt {};
    std::size_t fresh = 0;
    for (const Endpoint backend : candidates) {
        const BackendStatus* const status = backendStatuses.find(backend);
        const Eligibility eligibility = eligibilityOf(status, backendStatuses, now);
        if (eligibility != Eligibility::Eligible && eligibility != Eligibility::ConnectionLimit)
            continue;
        ++sum.m_backends;
        sum.m_slots += status->m_slots;
        if (!status->hasFreshReport(now))
            continue;
        const BackendReport& report = status->m_report;
        ++fresh;
        sum.m_busySlots += report.m_busySlots;
        sum.m_backlog += report.m_busySlots + report.m_queued;
        measuredAt += report.m_measuredAt.time_since_epoch();
    }
    if (fresh == 0)
        return sum;
    const double extrapolation = static_cast<double>(sum.m_backends) / static_cast<double>(fresh);
    sum.m_busySlots *= extrapolation;
    sum.m_backlog *= extrapolation;
    sum.m_measuredAt = Instant { measuredAt / static_cast<std::int64_t>(fresh) };
    return sum;
}

void ServiceLoadEstimate::update(const ReportedLoad& reported, double scale)
{
    if (reported.m_measuredAt <= m_reported.m_measuredAt) {
        m_reported.m_backends = reported.m_backends;
        m_reported.m_slots = reported.m_slots;
        return;
    }
    m_reported = reported;
    if (reported.m_measuredAt >= m_slotTimeReports.m_measuredAt + c_slotTimeUpdateInterval)
        updateSlotTime(reported, scale);
    resetBacklog(scale);
}

void ServiceLoadEstimate::recordAdmitted(double scale, Instant now)
{
    m_admitted.recordOpened(now);
    m_backlog.add(scale, flowsPerSecond().value_or(std::numeric_limits<double>::infinity()), now);
}

std::optional<double> ServiceLoadEstimate::expectedWait(Instant now) const
{
    const std::optional<double> rate = flowsPerSecond();
    if (!rate)
        return std::nullopt;
    return m_backlog.at(*rate, now) / *rate;
}

std::optional<double> ServiceLoadEstimate::reportedWait() const
{
    const std::optional<double> rate = flowsPerSecond();
    if (!rate)
        return std::nullopt;
    return m_reported.m_backlog / *rate;
}

double ServiceLoadEstimate::slotSecondsPerBackend() const
{
    return secondsPerFlow() * static_cast<double>(m_reported.m_backends);
}

double ServiceLoadEstimate::secondsPerFlow() const
{
    const std::optional<double> rate = flowsPerSecond();
    return rate ? 1 / *rate : 0;
}

void ServiceLoadEstimate::updateSlotTime(const ReportedLoad& newer, double scale)
{
    const ReportedLoad older = m_slotTimeReports;
    m_slotTimeReports = newer;
    const Duration interval = newer.m_measuredAt - older.m_measuredAt;
    // Sums over different backend servers, or across a gap in the reports, are not comparable.
    if (older.m_backends != newer.m_backends || interval > 3 * c_slotTimeUpdateInterval)
        return;
    const std::uint32_t admitted
        = m_admitted.since(older.m_measuredAt).m_opened - m_admitted.since(newer.m_measuredAt).m_opened;
    const double completed = scale * admitted - (newer.m_backlog - older.m_backlog);
    m_slotTime.add(interval, (newer.m_busySlots + older.m_busySlots) / 2, completed);
}

void ServiceLoadEstimate::resetBacklog(double scale)
{
    const double rate = flowsPerSecond().value_or(std::numeric_limits<double>::infinity());
    m_backlog.reset(m_reported.m_backlog, m_reported.m_measuredAt);
    const std::int32_t first = RecentActivity::windowOf(m_reported.m_measuredAt) + 1;
    const std::int32_t last = std::min(m_admitted.newestWindow(), first + RecentActivity::s_windowCount);
    for (std::int32_t window = first; window <= last; ++window) {
        const std::uint32_t admitted = m_admitted.in(window).m_opened;
        if (admitted > 0)
            m_backlog.add(scale * admitted, rate, RecentActivity::startOf(window));
    }
}

std::optional<double> ServiceLoadEstimate::flowsPerSecond() const
{
    const double seconds = m_slotTime.seconds();
    if (seconds <= 0 || m_reported.m_slots <= 0)
        return std::nullopt;
    return m_reported.m_slots / seconds;
}

} // namespace cuminrelay
