#include "control/ReportCache.h"

#include <algorithm>
#include <set>

namespace cuminrelay {

namespace {

    /// Connection counts that differ by less than this, or by less than a sixteenth, are not sent to peers again.
    constexpr std::uint32_t c_significantConnections = 8;
    constexpr std::uint32_t c_significantDivisor = 16;

    /// Measurement times that differ by less are the same, because the conversion between clocks is inexact.
    constexpr Duration c_sameMeasurement = std::chrono::milliseconds { 100 };

    /// An answer to one prober outweighs a missing answer to another.
    BackendHealth better(BackendHealth left, BackendHealth right)
    {
        if (left == BackendHealth::Healthy || right == BackendHealth::Healthy)
            return BackendHealth::Healthy;
        if (left == BackendHealth::Partitioned || right == BackendHealth::Partitioned)
            return BackendHealth::Partitioned;
        return BackendHealth::Unhealthy;
    }

} // namespace

ReportCache::ReportCache(Endpoint self)
    : m_self(self)
{
}

bool ReportCache::apply(Endpoint prober, const BackendReport& report, Instant now)
{
    Entry& entry = m_entries[report.m_backend];
    const auto [found, added] = entry.m_byProber.try_emplace(prober);
    HeldReport& held = found->second;
    if (!added && report.m_measuredAt < held.m_report.m_measuredAt)
        return false;
    const bool newer = added || report.m_measuredAt > held.m_report.m_measuredAt + c_sameMeasurement;
    held = HeldReport { report, now + s_expiry };
    entry.m_changed = true;
    if (prober == m_self)
        recordOwn(report, now);
    return newer;
}

void ReportCache::recordOwn(const BackendReport& report, Instant now)
{
    const auto [found, added] = m_published.try_emplace(report.m_backend);
    PublishedReport& published = found->second;
    if (!added && now < published.m_repeatAt && !differsSignificantly(published.m_report, report))
        return;
    published = PublishedReport { report, ++m_revision, now + s_repeatInterval };
}

bool ReportCache::differsSignificantly(const BackendReport& held, const BackendReport& report)
{
    if (held.m_health != report.m_health || held.m_shedding != report.m_shedding
        || held.m_busySlots != report.m_busySlots || held.m_queued != report.m_queued)
        return true;
    const std::uint32_t low = std::min(held.m_connections, report.m_connections);
    const std::uint32_t high = std::max(held.m_connections, report.m_connections);
    return high - low >= std::max(c_significantConnections, high / c_significantDivisor);
}

void ReportCache::retainProbers(std::span<const Endpoint> members)
{
    const std::set<Endpoint> kept { members.begin(), members.end() };
    for (auto& [backend, entry] : m_entries) {
        const std::size_t removed = std::erase_if(
            entry.m_byProber, [&](const auto& held) { return held.first != m_self && !kept.contains(held.first); });
        entry.m_changed |= removed > 0;
    }
}

void ReportCache::setReachable(std::span<const Endpoint> probers)
{
    const std::set<Endpoint> reachable { probers.begin(), probers.end() };
    for (auto& [backend, entry] : m_entries) {
        for (auto& [prober, held] : entry.m_byProber) {
            const bool isReachable = prober == m_self || reachable.contains(prober);
            entry.m_changed |= isReachable != held.m_isProberReachable;
            held.m_isProberReachable = isReachable;
        }
    }
}

void ReportCache::retainBackends(std::span<const Endpoint> backends)
{
    const std::set<Endpoint> kept { backends.begin(), backends.end() };
    std::erase_if(m_entries, [&](const auto& entry) { return !kept.contains(entry.first); });
    std::erase_if(m_published, [&](const auto& published) { return !kept.contains(published.first); });
}

BackendReport ReportCache::merge(const Entry& entry, Instant now)
{
    BackendReport merged;
    bool any = false;
    for (const auto& [prober, held] : entry.m_byProber) {
        if (!held.m_isProberReachable || now >= held.m_expiresAt)
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

std::vector<BackendReport> ReportCache::takeChanged(Instant now)
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

void ReportCache::markAllChanged()
{
    for (auto& [backend, entry] : m_entries)
        entry.m_changed = true;
}

std::vector<BackendReport> ReportCache::ownSince(std::uint64_t& revision) const
{
    std::vector<BackendReport> reports;
    for (const auto& [backend, published] : m_published) {
        if (published.m_revision > revision)
            reports.push_back(published.m_report);
    }
    revision = m_revision;
    return reports;
}

std::vector<BackendReport> ReportCache::all(Instant now) const
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
