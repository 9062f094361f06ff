#include "control/ReportSpread.h"

#include "control/ReportBook.h"

#include <algorithm>
#include <set>

namespace cuminrelay {

ReportSpread::ReportSpread(Endpoint self)
    : m_self(self)
{
}

void ReportSpread::offerOwn(const BackendReport& report, Instant now)
{
    if (isWorthTelling(report, now))
        note({ report.m_backend, m_self }, report, m_self, now);
}

bool ReportSpread::sameHealth(const BackendReport& left, const BackendReport& right)
{
    return left.m_health == right.m_health && left.m_shedding == right.m_shedding;
}

bool ReportSpread::isWorthTelling(const BackendReport& report, Instant now) const
{
    const auto own = m_told.find({ report.m_backend, m_self });
    const auto latest = m_latest.find(report.m_backend);
    if (own == m_told.end() || latest == m_latest.end())
        return true;
    if (!sameHealth(own->second.m_report, report))
        return true;
    const Latest& last = latest->second;
    if (!sameHealth(last.m_report, report))
        return now >= own->second.m_repeatAt;
    const Deadline dueAt = last.m_prober == m_self ? last.m_loadDueAt : last.m_takenOverAt;
    return now >= dueAt && (now >= last.m_repeatAt || ReportBook::differsNoticeably(last.m_report, report));
}

void ReportSpread::pass(const ForwardedReport& passed, Endpoint from, Instant now)
{
    note({ passed.m_report.m_backend, passed.m_prober }, passed.m_report, from, now);
}

void ReportSpread::note(const Key& key, const BackendReport& report, Endpoint from, Instant now)
{
    const Duration loadInterval = s_loadIntervalPerBackend * static_cast<std::int64_t>(m_latest.size());
    Told& told = m_told[key];
    const bool healthChanged = told.m_revision == 0 || !sameHealth(told.m_report, report);
    m_byRevision.erase(told.m_revision);
    told = Told { report, from, ++m_revision, now + std::max(s_repeat, loadInterval), healthChanged };
    m_byRevision.emplace(m_revision, key);
    m_latest[key.first]
        = Latest { report, key.second, now + loadInterval, now + 2 * loadInterval + s_spreading, told.m_repeatAt };
}

void ReportSpread::retainBackends(std::span<const Endpoint> backends)
{
    const std::set<Endpoint> kept { backends.begin(), backends.end() };
    std::erase_if(m_latest, [&](const auto& latest) { return !kept.contains(latest.first); });
    std::erase_if(m_byRevision, [&](const auto& entry) { return !kept.contains(entry.second.first); });
    std::erase_if(m_told, [&](const auto& told) { return !kept.contains(told.first.first); });
}

std::vector<ForwardedReport> ReportSpread::since(
    std::uint64_t& revision, Endpoint peer, Extent extent, std::size_t limit) const
{
    std::vector<ForwardedReport> reports;
    std::size_t others = 0;
    for (auto entry = m_byRevision.rbegin(); entry != m_byRevision.rend() && entry->first > revision; ++entry) {
        const Told& told = m_told.at(entry->second);
        const Endpoint prober = entry->second.second;
        if (told.m_from == peer || prober == peer)
            continue;
        const bool wanted = extent == Extent::All || prober == m_self;
        if (!told.m_healthChanged && (!wanted || others == limit))
            continue;
        others += told.m_healthChanged ? 0 : 1;
        reports.push_back({ prober, told.m_report });
    }
    revision = m_revision;
    return reports;
}

} // namespace cuminrelay
