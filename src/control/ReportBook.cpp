#include "control/ReportBook.h"

#include <algorithm>
#include <set>

namespace cuminrelay {

namespace {

    /// Connection counts that differ by less than this, or by less than a sixteenth, are not sent to peers again.
    constexpr std::uint32_t c_noticeableConnections = 8;
    constexpr std::uint32_t c_noticeableDivisor = 16;

    /// Instants that differ by less belong to the same measurement, because the conversion between clocks is inexact.
    constexpr Duration c_sameMeasurement = std::chrono::milliseconds { 100 };

    /// The better of two healths: an answer to one prober outweighs a missing answer to another.
    BackendHealth better(BackendHealth left, BackendHealth right)
    {
        if (left == BackendHealth::Healthy || right == BackendHealth::Healthy)
            return BackendHealth::Healthy;
        if (left == BackendHealth::Partitioned || right == BackendHealth::Partitioned)
            return BackendHealth::Partitioned;
        return BackendHealth::Unhealthy;
    }

} // namespace

ReportBook::ReportBook(Endpoint self)
    : m_self(self)
{
}

bool ReportBook::apply(Endpoint prober, const BackendReport& report, Instant now)
{
    Entry& entry = m_entries[report.m_backend];
    const auto [found, added] = entry.m_byProber.try_emplace(prober);
    Held& held = found->second;
    if (!added && report.m_measuredAt < held.m_report.m_measuredAt)
        return false;
    const bool newer = added || report.m_measuredAt > held.m_report.m_measuredAt + c_sameMeasurement;
    held = Held { report, now + s_expiry };
    entry.m_changed = true;
    if (prober == m_self)
        noteOwn(report, now);
    return newer;
}

void ReportBook::noteOwn(const BackendReport& report, Instant now)
{
    const auto [found, added] = m_told.try_emplace(report.m_backend);
    Told& told = found->second;
    if (!added && now < told.m_repeatAt && !differsNoticeably(told.m_report, report))
        return;
    told = Told { report, ++m_revision, now + s_repeat };
}

bool ReportBook::differsNoticeably(const BackendReport& held, const BackendReport& report)
{
    if (held.m_health != report.m_health || held.m_shedding != report.m_shedding
        || held.m_busySlots != report.m_busySlots || held.m_queued != report.m_queued)
        return true;
    const std::uint32_t low = std::min(held.m_connections, report.m_connections);
    const std::uint32_t high = std::max(held.m_connections, report.m_connections);
    return high - low >= std::max(c_noticeableConnections, high / c_noticeableDivisor);
}

void ReportBook::retainProbers(std::span<const Endpoint> known)
{
    const std::set<Endpoint> kept { known.begin(), known.end() };
    for (auto& [backend, entry] : m_entries) {
        const std::size_t removed = std::erase_if(
            entry.m_byProber, [&](const auto& held) { return held.first != m_self && !kept.contains(held.first); });
        entry.m_changed |= removed > 0;
    }
}

void ReportBook::setReachable(std::span<const Endpoint> probers)
{
    const std::set<Endpoint> reachable { probers.begin(), probers.end() };
    for (auto& [backend, entry] : m_entries) {
        for (auto& [prober, held] : entry.m_byProber) {
            const bool counts = prober == m_self || reachable.contains(prober);
            entry.m_changed |= counts != held.m_counts;
            held.m_counts = counts;
        }
    }
}

void ReportBook::retainBackends(std::span<const Endpoint> backends)
{
    const std::set<Endpoint> kept { backends.begin(), backends.end() };
    std::erase_if(m_entries, [&](const auto& entry) { return !kept.contains(entry.first); });
    std::erase_if(m_told, [&](const auto& told) { return !kept.contains(told.first); });
}

BackendReport ReportBook::merge(const Entry& entry, Instant now)
{
    BackendReport merged;
    bool any = false;
    for (const auto& [prober, held] : entry.m_byProber) {
        if (!held.m_counts || now >= held.m_expiresAt)
            continue;
        const BackendHealth health = any ? better(merged.m_health, held.m_report.m_health) : held.m_report.m_health;
        const bool heldAnswered = held.m_report.m_health == BackendHealth::Healthy;
        const bool mergedAnswered = any && merged.m_health == BackendHealth::Healthy;
        const bool newer = held.m_report.m_measuredAt > merged.m_measuredAt;
        if (!any || heldAnswered > mergedAnswered || (heldAnswered == mergedAnswered && newer))
            merged = held.m_report;
        merged.m_health = health;
        any = true;
    }
    return merged;
}

std::vector<BackendReport> ReportBook::takeChanged(Instant now)
{
    std::vector<BackendReport> changed;
    for (auto& [backend, entry] : m_entries) {
        if (!entry.m_changed)
            continue;
        entry.m_changed = false;
        const BackendReport merged = merge(entry, now);
        if (merged.m_backend == backend)
            changed.push_back(merged);
    }
    return changed;
}

void ReportBook::markAllChanged()
{
    for (auto& [backend, entry] : m_entries)
        entry.m_changed = true;
}

std::vector<BackendReport> ReportBook::ownSince(std::uint64_t& revision) const
{
    std::vector<BackendReport> reports;
    for (const auto& [backend, told] : m_told) {
        if (told.m_revision > revision)
            reports.push_back(told.m_report);
    }
    revision = m_revision;
    return reports;
}

std::vector<BackendReport> ReportBook::all(Instant now) const
{
    std::vector<BackendReport> reports;
    for (const auto& [backend, entry] : m_entries) {
        const BackendReport merged = merge(entry, now);
        if (merged.m_backend == backend)
            reports.push_back(merged);
    }
    return reports;
}

} // namespace cuminrelay
