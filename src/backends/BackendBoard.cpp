#include "backends/BackendBoard.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_set.hpp>
#include <cmath>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr Duration c_reportLifetime = std::chrono::seconds { 5 };
    constexpr Duration c_coldStart = std::chrono::seconds { 20 };

    void beginColdStart(BackendStatus& status, Instant now)
    {
        status.m_rampBegan = now;
        status.m_rampEnds = now + c_coldStart;
    }

    constexpr double c_slotTimeMemorySeconds = 10;
    constexpr double c_minimumCompletedFlows = 20;

    double secondsOf(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    void decrement(std::uint32_t& count)
    {
        if (count > 0)
            --count;
    }

} // namespace

void SlotTimeEstimate::add(Duration interval, double meanBusySlots, double completedFlows)
{
    const double seconds = secondsOf(interval);
    const double kept = std::exp(-seconds / c_slotTimeMemorySeconds);
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
    m_asOf = std::max(m_asOf, now);
}

void BacklogEstimate::reset(double flows, Instant measuredAt)
{
    m_flows = flows;
    m_asOf = measuredAt;
}

double BacklogEstimate::at(double flowsPerSecond, Instant now) const
{
    if (m_flows <= 0 || now <= m_asOf)
        return m_flows;
    return std::max(0.0, m_flows - flowsPerSecond * secondsOf(now - m_asOf));
}

std::int32_t RecentActivity::numberOf(Instant now)
{
    return static_cast<std::int32_t>(now.time_since_epoch() / s_windowLength);
}

RecentActivity::Window& RecentActivity::window(Instant now)
{
    const std::int32_t number = numberOf(now);
    Window& window = m_windows[static_cast<std::size_t>(number) % s_windowCount];
    if (window.m_number != number)
        window = { number, {} };
    return window;
}

RecentActivity::Totals RecentActivity::since(Instant start) const
{
    const std::int32_t first = numberOf(start);
    Totals totals;
    for (const Window& window : m_windows) {
        if (window.m_number <= first)
            continue;
        totals.m_opened += window.m_totals.m_opened;
        totals.m_closed += window.m_totals.m_closed;
    }
    return totals;
}

void RecentActivity::replay(BacklogEstimate& backlog, double weight, double flowsPerSecond, Instant start) const
{
    const std::int32_t first = numberOf(start);
    std::int32_t last = first;
    for (const Window& window : m_windows)
        last = std::max(last, window.m_number);
    for (std::int32_t number = first + 1; number <= last; ++number) {
        const Window& window = m_windows[static_cast<std::size_t>(number) % s_windowCount];
        if (window.m_number == number && window.m_totals.m_opened > 0)
            backlog.add(weight * window.m_totals.m_opened, flowsPerSecond, Instant { number * s_windowLength });
    }
}

double BackendBoard::Entry::rate() const
{
    const double seconds = m_slotTime.seconds();
    return seconds > 0 ? m_status.m_slots / seconds : std::numeric_limits<double>::infinity();
}

void BackendBoard::declare(
    Endpoint backend, std::uint16_t slots, std::uint32_t connectionLimit, bool draining, Instant now)
{
    const auto [position, isNew] = m_entries.try_emplace(backend.packed());
    BackendStatus& status = position->second.m_status;
    if (isNew)
        status.m_report.m_backend = backend;
    if (isNew || (status.m_draining && !draining))
        beginColdStart(status, now);
    status.m_slots = slots;
    status.m_connectionLimit = connectionLimit;
    status.m_draining = draining;
}

void BackendBoard::retainOnly(std::span<const Endpoint> declared)
{
    boost::unordered_flat_set<std::uint64_t> kept;
    for (const Endpoint backend : declared)
        kept.insert(backend.packed());
    boost::unordered::erase_if(
        m_entries, [&kept](const std::pair<const std::uint64_t, Entry>& entry) { return !kept.contains(entry.first); });
}

void BackendBoard::apply(const BackendReport& report)
{
    const auto position = m_entries.find(report.m_backend.packed());
    if (position == m_entries.end())
        return;
    Entry& entry = position->second;
    BackendStatus& status = entry.m_status;
    const bool isFirst = status.m_staleAt == Deadline {};
    if (!isFirst && report.m_measuredAt <= status.m_report.m_measuredAt)
        return;
    if (status.m_report.m_health == BackendHealth::Unhealthy && report.m_health == BackendHealth::Healthy)
        beginColdStart(status, report.m_measuredAt);
    if (status.hasFreshReport(report.m_measuredAt))
        learnSlotTime(entry, report);
    status.m_report = report;
    status.m_staleAt = report.m_measuredAt + c_reportLifetime;
    entry.m_backlog.reset(report.m_busySlots + report.m_queued, report.m_measuredAt);
    entry.m_recent.replay(entry.m_backlog, static_cast<double>(m_ownerCount), entry.rate(), report.m_measuredAt);
    const RecentActivity::Totals totals = entry.m_recent.since(report.m_measuredAt);
    status.m_openedSinceReport = totals.m_opened;
    status.m_closedSinceReport = totals.m_closed;
}

void BackendBoard::learnSlotTime(Entry& entry, const BackendReport& newer) const
{
    const BackendReport& older = entry.m_status.m_report;
    const std::uint32_t opened
        = entry.m_recent.since(older.m_measuredAt).m_opened - entry.m_recent.since(newer.m_measuredAt).m_opened;
    const double backlogGrowth = newer.m_busySlots + newer.m_queued - older.m_busySlots - older.m_queued;
    const double completed = static_cast<double>(m_ownerCount) * opened - backlogGrowth;
    const double meanBusySlots = (newer.m_busySlots + older.m_busySlots) / 2.0;
    entry.m_slotTime.add(newer.m_measuredAt - older.m_measuredAt, meanBusySlots, completed);
}

void BackendBoard::noteOpened(Endpoint backend, Instant now)
{
    const auto position = m_entries.find(backend.packed());
    if (position == m_entries.end())
        return;
    Entry& entry = position->second;
    entry.m_recent.noteOpened(now);
    entry.m_backlog.add(static_cast<double>(m_ownerCount), entry.rate(), now);
    BackendStatus& status = entry.m_status;
    ++status.m_openedSinceReport;
    ++status.m_ownFlows;
    if (status.m_unprovenOpenings == 0)
        status.m_unprovenSince = now;
    ++status.m_unprovenOpenings;
}

void BackendBoard::noteClosed(Endpoint backend, bool straggler, Instant now)
{
    const auto position = m_entries.find(backend.packed());
    if (position == m_entries.end())
        return;
    Entry& entry = position->second;
    entry.m_recent.noteClosed(now);
    BackendStatus& status = entry.m_status;
    ++status.m_closedSinceReport;
    decrement(status.m_ownFlows);
    if (straggler)
        decrement(status.m_ownStragglers);
}

void BackendBoard::noteStraggler(Endpoint backend)
{
    const auto position = m_entries.find(backend.packed());
    if (position != m_entries.end())
        ++position->second.m_status.m_ownStragglers;
}

void BackendBoard::noteProven(Endpoint backend)
{
    const auto position = m_entries.find(backend.packed());
    if (position == m_entries.end())
        return;
    position->second.m_status.m_unprovenSince = {};
    position->second.m_status.m_unprovenOpenings = 0;
}

const BackendStatus* BackendBoard::find(Endpoint backend) const
{
    const auto position = m_entries.find(backend.packed());
    return position == m_entries.end() ? nullptr : &position->second.m_status;
}

double BackendBoard::estimatedConnections(const BackendStatus& status, Instant now) const
{
    const double owners = static_cast<double>(m_ownerCount);
    if (!status.hasFreshReport(now))
        return owners * status.m_ownFlows;
    const double change = static_cast<double>(status.m_openedSinceReport) - status.m_closedSinceReport;
    return std::max(0.0, status.m_report.m_connections + owners * change);
}

double BackendBoard::estimatedBacklog(Endpoint backend, Instant now) const
{
    const auto position = m_entries.find(backend.packed());
    return position == m_entries.end() ? 0 : position->second.m_backlog.at(position->second.rate(), now);
}

std::optional<double> BackendBoard::flowsPerSecond(Endpoint backend) const
{
    const auto position = m_entries.find(backend.packed());
    if (position == m_entries.end() || position->second.m_slotTime.seconds() <= 0)
        return std::nullopt;
    return position->second.rate();
}

} // namespace cuminrelay
