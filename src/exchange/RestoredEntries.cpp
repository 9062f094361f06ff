#include "exchange/RestoredEntries.h"

#include "discovery/WatchSchedule.h"

#include <set>

namespace cuminrelay {

EntryVersion entryVersionOf(const AnnouncedBackend& backend)
{
    return { backend.m_startedAtUnixMs, backend.m_sequence };
}

BackendList RestoredEntries::merge(BackendList list, const Known& known, const Removed& removed, Instant now)
{
    m_hasMerged = true;
    m_ignored.clear();
    m_retained.clear();
    std::set<BackendIdentity> listed;
    for (AnnouncedBackend& backend : list.m_backends) {
        listed.insert(backend.m_identity);
        keepNewer(backend, known);
        const auto gone = removed.find(backend.m_identity);
        const bool isNewStart = gone != removed.end() && gone->second.m_version != EntryVersion {}
            && backend.m_startedAtUnixMs > gone->second.m_version.m_startedAtUnixMs;
        if (!known.contains(backend.m_identity) && gone != removed.end() && !isNewStart)
            m_ignored.emplace(backend.m_identity, entryVersionOf(backend));
    }
    std::erase_if(
        list.m_backends, [this](const AnnouncedBackend& backend) { return m_ignored.contains(backend.m_identity); });
    for (const auto& [identity, entry] : known) {
        if (listed.contains(identity))
            continue;
        m_retained.emplace(identity, now + WatchSchedule::s_restoreSettleTime);
        list.m_backends.push_back(entry.m_backend);
    }
    return list;
}

void RestoredEntries::keepNewer(AnnouncedBackend& backend, const Known& known)
{
    const auto held = known.find(backend.m_identity);
    if (held != known.end() && entryVersionOf(backend) < entryVersionOf(held->second.m_backend))
        backend = held->second.m_backend;
}

BackendList RestoredEntries::filter(BackendList list, const Known& known, const Removed& removed)
{
    if (!m_hasMerged)
        return list;
    // The first list may have come from a VM that ignores the entry, too: then it lacked it.
    const auto wasRemovedBefore = [&](const AnnouncedBackend& backend) {
        const auto gone = removed.find(backend.m_identity);
        return gone != removed.end() && gone->second.m_revision.m_era < list.m_revision.m_era
            && entryVersionOf(backend) <= gone->second.m_version;
    };
    std::erase_if(list.m_backends,
        [&](const AnnouncedBackend& backend) { return isIgnored(backend) || wasRemovedBefore(backend); });
    for (AnnouncedBackend& backend : list.m_backends) {
        keepNewer(backend, known);
        m_retained.erase(backend.m_identity);
    }
    for (const auto& [identity, deadline] : m_retained) {
        const auto held = known.find(identity);
        if (held != known.end())
            list.m_backends.push_back(held->second.m_backend);
    }
    return list;
}

BackendChanges RestoredEntries::filter(BackendChanges changes, const Known& known)
{
    if (!m_hasMerged)
        return changes;
    for (BackendChange& change : changes.m_changes) {
        m_retained.erase(change.m_identity);
        if (change.m_backend)
            keepNewer(*change.m_backend, known);
    }
    std::erase_if(changes.m_changes,
        [this](const BackendChange& change) { return change.m_backend && isIgnored(*change.m_backend); });
    return changes;
}

bool RestoredEntries::isIgnored(const AnnouncedBackend& backend)
{
    const auto ignored = m_ignored.find(backend.m_identity);
    if (ignored == m_ignored.end())
        return false;
    if (entryVersionOf(backend) <= ignored->second)
        return true;
    m_ignored.erase(ignored);
    return false;
}

std::vector<BackendIdentity> RestoredEntries::takeGone(Instant confirmedAt)
{
    std::vector<BackendIdentity> gone;
    std::erase_if(m_retained, [&gone, confirmedAt](const auto& entry) {
        const bool isOver = confirmedAt >= entry.second;
        if (isOver)
            gone.push_back(entry.first);
        return isOver;
    });
    return gone;
}

} // namespace cuminrelay
