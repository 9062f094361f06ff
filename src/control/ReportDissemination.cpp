#include "control/ReportDissemination.h"

#include "control/ReportCache.h"

#include <algorithm>
#include <set>

namespace cuminrelay {

ReportDissemination::ReportDissemination(Endpoint self)
    : m_self(self)
{
}

void ReportDissemination::recordOwn(const BackendReport& report, Instant now)
{
    if (isDue(report, now))
        record({ report.m_backend, m_self }, report, m_self, now);
}

bool ReportDissemination::sameHealth(const BackendReport& left, const BackendReport& right)
{
    return left.m_health == right.m_health && left.m_shedding == right.m_shedding;
}

bool ReportDissemination::isDue(const BackendReport& report, Instant now) const
{
    const auto own = m_reports.find({ report.m_backend, m_self });
    const auto latest = m_latest.find(report.m_backend);
    if (own == m_reports.end() || latest == m_latest.end())
        return true;
    if (!sameHealth(own->second.m_report, report))
        return true;
    const Latest& last = latest->second;
    if (!sameHealth(last.m_report, report))
        return now >= own->second.m_repeatAt;
    const Deadline dueAt = last.m_prober == m_self ? last.m_loadDueAt : last.m_takeoverAt;
    return now >= dueAt && (now >= last.m_repeatAt || ReportCache::differsSignificantly(last.m_report, report));
}

void ReportDissemination::recordForwarded(const ForwardedReport& forwarded, Endpoint from, Instant now)
{
    record({ forwarded.m_report.m_backend, forwarded.m_prober }, forwarded.m_report, from, now);
}

void ReportDissemination::record(const Key& key, const BackendReport& report, Endpoint from, Instant now)
{
    const Duration loadInterval = s_loadIntervalPerBackend * static_cast<std::int64_t>(m_latest.size());
    StoredReport& stored = m_reports[key];
    const bool healthChanged = stored.m_revision == 0 || !sameHealth(stored.m_report, report);
    m_byRevision.erase(stored.m_revision);
    stored = StoredReport { report, from, ++m_revision, now + std::max(s_repeatInterval, loadInterval), healthChanged };
    m_byRevision.emplace(m_revision, key);
    m_latest[key.first] = Latest { report, key.second, now + loadInterval, now + 2 * loadInterval + s_propagationTime,
        stored.m_repeatAt };
}

void ReportDissemination::retainBackends(std::span<const Endpoint> backends)
{
    const std::set<Endpoint> kept { backends.begin(), backends.end() };
    std::erase_if(m_latest, [&](const auto& latest) { return !kept.contains(latest.first); });
    std::erase_if(m_byRevision, [&](const auto& entry) { return !kept.contains(entry.second.first); });
    std::erase_if(m_reports, [&](const auto& stored) { return !kept.contains(stored.first.first); });
}

std::vector<ForwardedReport> ReportDissemination::since(
    std::uint64_t& revision, Endpoint peer, Extent extent, std::size_t limit) const
{
    std::vector<ForwardedReport> reports;
    std::size_t loadReports = 0;
    for (auto entry = m_byRevision.rbegin(); entry != m_byRevision.rend() && entry->first > revision; ++entry) {
        const StoredReport& stored = m_reports.at(entry->second);
        const Endpoint prober = entry->second.second;
        if (stored.m_receivedFrom == peer || prober == peer)
            continue;
        const bool isInExtent = extent == Extent::All || prober == m_self;
        if (!stored.m_healthChanged && (!isInExtent || loadReports == limit))
            continue;
        loadReports += stored.m_healthChanged ? 0 : 1;
        reports.push_back({ prober, stored.m_report });
    }
    revision = m_revision;
    return reports;
}

} // namespace cuminrelay
