#include "evacuation/Evacuations.h"

#include "configuration/Selector.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace cuminrelay {

namespace {

    /// Limits what other writers' objects take in memory; beyond it, ignored names may be reported again.
    constexpr std::size_t c_maxIgnoredNames = 64;

} // namespace

Evacuations::Evacuations(std::span<const std::string> zones)
    : m_areZonesKnown(!zones.empty())
{
    for (const std::string& zone : zones)
        m_names.emplace(hashZone(zone), zone);
}

bool Evacuations::accepts(const std::string& zone, const Zones& listed)
{
    const ZoneHash hash = hashZone(zone);
    const bool isZone = !m_areZonesKnown || m_names.contains(hash);
    if (isZone && (listed.contains(hash) || listed.size() < EvacuatedZones::s_maxZones)) {
        // Names are labels of metrics.
        if (checkLabelValue(zone))
            m_names.emplace(hash, zone);
        return true;
    }
    if (m_ignored.size() >= c_maxIgnoredNames)
        m_ignored.clear();
    if (m_ignored.insert(zone).second)
        m_newlyIgnored.push_back(zone);
    return false;
}

bool Evacuations::apply(const EvacuationList& list, Instant now)
{
    if (list.m_revision < m_revision)
        return false;
    Zones listed;
    for (const std::string& zone : list.m_zones) {
        if (accepts(zone, listed))
            listed.insert(hashZone(zone));
    }
    replaceListed(std::move(listed), list.m_revision, now);
    return true;
}

bool Evacuations::apply(const EvacuationChanges& changes, Instant now)
{
    // Changes of a new era build on its list.
    if (changes.m_revision <= m_revision || changes.m_revision.m_era != m_revision.m_era)
        return false;
    Zones listed = m_listed;
    for (const EvacuationChanges::Change& change : changes.m_changes) {
        const ZoneHash zone = hashZone(change.m_zone);
        m_retained.erase(zone);
        if (!change.m_isEvacuated)
            listed.erase(zone);
        else if (accepts(change.m_zone, listed))
            listed.insert(zone);
    }
    replaceListed(std::move(listed), changes.m_revision, now);
    return true;
}

bool Evacuations::apply(const EvacuatedZones& reported, StoreRevision revision, Instant now)
{
    if (revision < m_revision || revision == StoreRevision {})
        return false;
    const bool addsRetained
        = !reported.m_retained.empty() && !(m_hasRetainedInEra && revision.m_era == m_revision.m_era);
    if (revision == m_revision && !addsRetained)
        return false;
    replaceListed({ reported.m_zones.begin(), reported.m_zones.end() }, revision, now);
    if (addsRetained && !m_hasRetainedInEra) {
        m_hasRetainedInEra = true;
        m_retainedUntil = now + std::min(reported.m_retainedFor, s_retention);
        for (const ZoneHash zone : reported.m_retained) {
            if (!m_listed.contains(zone))
                m_retained.insert(zone);
        }
        updateSince(now);
    }
    return true;
}

void Evacuations::replaceListed(Zones listed, StoreRevision revision, Instant now)
{
    const bool isRestored = isKnown() && revision.m_era > m_revision.m_era;
    if (isRestored) {
        m_retained.insert(m_listed.begin(), m_listed.end());
        m_hasRetainedInEra = !m_retained.empty();
        m_retainedUntil = now + s_retention;
    }
    m_listed = std::move(listed);
    std::erase_if(m_retained, [this](ZoneHash zone) { return m_listed.contains(zone); });
    m_revision = revision;
    updateSince(now);
}

bool Evacuations::tick(Instant now)
{
    if (m_retained.empty() || now < m_retainedUntil)
        return false;
    m_retained.clear();
    updateSince(now);
    return true;
}

void Evacuations::updateSince(Instant now)
{
    std::erase_if(m_since, [this](const auto& entry) {
        const bool isInForce = m_listed.contains(entry.first) || m_retained.contains(entry.first);
        if (!isInForce)
            m_events.push_back({ nameOf(entry.first), false, false });
        return !isInForce;
    });
    for (const ZoneHash zone : inForce()) {
        if (m_since.emplace(zone, now).second)
            m_events.push_back({ nameOf(zone), true, m_retained.contains(zone) });
    }
}

std::vector<ZoneHash> Evacuations::inForce() const
{
    std::vector<ZoneHash> zones;
    std::ranges::set_union(m_listed, m_retained, std::back_inserter(zones));
    return zones;
}

std::map<std::string, Instant> Evacuations::sinceByName() const
{
    std::map<std::string, Instant> since;
    for (const auto& [zone, time] : m_since)
        since.emplace(nameOf(zone), time);
    return since;
}

EvacuatedZones Evacuations::report(Instant now) const
{
    EvacuatedZones reported { { m_listed.begin(), m_listed.end() }, { m_retained.begin(), m_retained.end() }, {} };
    reported.m_retained.resize(
        std::min(reported.m_retained.size(), EvacuatedZones::s_maxZones - reported.m_zones.size()));
    if (!reported.m_retained.empty())
        reported.m_retainedFor = std::max(m_retainedUntil - now, Duration::zero());
    return reported;
}

std::vector<std::string> Evacuations::takeIgnored()
{
    return std::exchange(m_newlyIgnored, {});
}

std::string Evacuations::nameOf(ZoneHash zone) const
{
    const auto found = m_names.find(zone);
    return found != m_names.end() ? found->second : fmt::format("{:08x}", zone.m_value);
}

} // namespace cuminrelay
