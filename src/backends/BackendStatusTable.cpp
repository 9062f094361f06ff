#include "backends/BackendStatusTable.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_set.hpp>

namespace cuminrelay {

namespace {

    constexpr Duration c_reportLifetime = std::chrono::seconds { 5 };
    constexpr Duration c_coldStart = std::chrono::seconds { 20 };

    void beginColdStart(BackendStatus& status, Instant now)
    {
        status.m_coldStartBegan = now;
        status.m_coldStartEnds = now + c_coldStart;
    }

    void decrement(std::uint32_t& count)
    {
        if (count > 0)
            --count;
    }

} // namespace

void BusySlotHistory::add(std::uint16_t busySlots)
{
    m_busySlots[m_next] = busySlots;
    m_next = (m_next + 1) % s_reportCount;
}

std::uint16_t BusySlotHistory::fewest() const
{
    return *std::min_element(m_busySlots.begin(), m_busySlots.end());
}

void BackendStatusTable::declare(
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

void BackendStatusTable::retainOnly(std::span<const Endpoint> declared)
{
    boost::unordered_flat_set<std::uint64_t> kept;
    for (const Endpoint backend : declared)
        kept.insert(backend.packed());
    boost::unordered::erase_if(
        m_entries, [&kept](const std::pair<const std::uint64_t, Entry>& entry) { return !kept.contains(entry.first); });
}

void BackendStatusTable::apply(const BackendReport& report)
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
    status.m_report = report;
    status.m_busySlots.add(report.m_busySlots);
    status.m_staleAt = report.m_measuredAt + c_reportLifetime;
    const RecentActivity::Totals totals = entry.m_recent.since(report.m_measuredAt);
    status.m_openedSinceReport = totals.m_opened;
    status.m_closedSinceReport = totals.m_closed;
}

void BackendStatusTable::recordOpened(Endpoint backend, Instant now)
{
    const auto position = m_entries.find(backend.packed());
    if (position == m_entries.end())
        return;
    Entry& entry = position->second;
    entry.m_recent.recordOpened(now);
    BackendStatus& status = entry.m_status;
    ++status.m_openedSinceReport;
    ++status.m_ownFlows;
    if (status.m_unansweredOpenings == 0)
        status.m_unansweredSince = now;
    ++status.m_unansweredOpenings;
}

void BackendStatusTable::recordClosed(Endpoint backend, bool straggler, Instant now)
{
    const auto position = m_entries.find(backend.packed());
    if (position == m_entries.end())
        return;
    Entry& entry = position->second;
    entry.m_recent.recordClosed(now);
    BackendStatus& status = entry.m_status;
    ++status.m_closedSinceReport;
    decrement(status.m_ownFlows);
    if (straggler)
        decrement(status.m_ownStragglers);
}

void BackendStatusTable::recordStraggler(Endpoint backend)
{
    const auto position = m_entries.find(backend.packed());
    if (position != m_entries.end())
        ++position->second.m_status.m_ownStragglers;
}

void BackendStatusTable::recordAnsweredOpening(Endpoint backend)
{
    const auto position = m_entries.find(backend.packed());
    if (position == m_entries.end())
        return;
    position->second.m_status.m_unansweredSince = {};
    position->second.m_status.m_unansweredOpenings = 0;
}

const BackendStatus* BackendStatusTable::find(Endpoint backend) const
{
    const auto position = m_entries.find(backend.packed());
    return position == m_entries.end() ? nullptr : &position->second.m_status;
}

double BackendStatusTable::estimatedConnections(const BackendStatus& status, Instant now) const
{
    const double owners = static_cast<double>(m_ownerCount);
    if (!status.hasFreshReport(now))
        return owners * status.m_ownFlows;
    const double change = static_cast<double>(status.m_openedSinceReport) - status.m_closedSinceReport;
    return std::max(0.0, status.m_report.m_connections + owners * change);
}

} // namespace cuminrelay
