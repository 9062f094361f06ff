#include "exchange/StoreCache.h"

#include <algorithm>
#include <tuple>

namespace cuminrelay {

namespace {

    bool isSameEntry(const AnnouncedBackend& left, const AnnouncedBackend& right)
    {
        return left.m_server == right.m_server && left.m_startedAtUnixMs == right.m_startedAtUnixMs;
    }

    /// Whether an entry counts, not the other one of the same identity.
    bool isPreferred(const AnnouncedBackend& left, const AnnouncedBackend& right)
    {
        return std::tie(left.m_startedAtUnixMs, left.m_server.m_name)
            > std::tie(right.m_startedAtUnixMs, right.m_server.m_name);
    }

    AnnouncedBackend drainingCopy(AnnouncedBackend backend)
    {
        backend.m_server.m_draining = true;
        return backend;
    }

    /// Whether a change is one of this entry, not of another one with its identity.
    bool isOf(const AnnouncedBackend& entry, const BackendChange& change)
    {
        return change.m_name.empty() || change.m_name == entry.m_server.m_name;
    }

} // namespace

BackendList listOf(const StoreUpdate& update)
{
    BackendList list { update.m_backends, {}, update.m_backendsRevision };
    for (const BackendIdentity identity : update.m_unreadable)
        list.m_unreadable.push_back({ {}, update.m_backendsRevision, {}, identity });
    return list;
}

BackendChanges changesOf(const StoreUpdate& update)
{
    BackendChanges changes;
    changes.m_revision = update.m_backendsRevision;
    for (const AnnouncedBackend& backend : update.m_backends)
        changes.m_changes.push_back({ backend.m_identity, backend });
    for (const BackendIdentity identity : update.m_withdrawn)
        changes.m_changes.push_back({ identity, {} });
    for (const BackendIdentity identity : update.m_unreadable)
        changes.m_changes.push_back({ identity, {}, {}, true });
    return changes;
}

BackendList StoreCache::withoutUnreadable(BackendList list) const
{
    std::map<BackendIdentity, AnnouncedBackend> counting;
    for (AnnouncedBackend& backend : list.m_backends) {
        const auto [rival, isFirst] = counting.try_emplace(backend.m_identity, backend);
        if (!isFirst && isPreferred(backend, rival->second))
            rival->second = std::move(backend);
    }
    std::vector<UnreadableEntry> unknown;
    for (UnreadableEntry& entry : list.m_unreadable) {
        if (!entry.m_identity || counting.contains(*entry.m_identity))
            continue;
        const auto known = m_backends.find(*entry.m_identity);
        const bool isKnown = known != m_backends.end()
            && (entry.m_name.empty() || entry.m_name == known->second.m_backend.m_server.m_name);
        if (isKnown)
            counting.emplace(*entry.m_identity, drainingCopy(known->second.m_backend));
        else
            unknown.push_back(std::move(entry));
    }
    list.m_unreadable = std::move(unknown);
    list.m_backends.clear();
    for (auto& [identity, backend] : counting)
        list.m_backends.push_back(std::move(backend));
    return list;
}

BackendChanges StoreCache::withoutUnreadable(BackendChanges changes) const
{
    std::map<BackendIdentity, std::optional<AnnouncedBackend>> changed; // empty: removed, or unknown
    const auto find = [&](BackendIdentity identity) -> const AnnouncedBackend* {
        const auto inBatch = changed.find(identity);
        if (inBatch != changed.end())
            return inBatch->second ? &*inBatch->second : nullptr;
        const auto known = m_backends.find(identity);
        return known != m_backends.end() ? &known->second.m_backend : nullptr;
    };
    std::vector<BackendChange> counting;
    for (BackendChange& change : changes.m_changes) {
        const AnnouncedBackend* const known = find(change.m_identity);
        const bool isOfRival = known && !isOf(*known, change);
        if (isOfRival && (!change.m_backend || !isPreferred(*change.m_backend, *known)))
            continue;
        if (change.m_isUnreadable && known) {
            change.m_backend = drainingCopy(*known);
            change.m_isUnreadable = false;
        }
        changed.insert_or_assign(change.m_identity, change.m_backend);
        counting.push_back(std::move(change));
    }
    changes.m_changes = std::move(counting);
    changes.m_unreadable.clear();
    return changes;
}

BackendList StoreCache::reconciled(BackendList list, Instant now)
{
    const bool isRestored = m_backendsRevision != StoreRevision {} && list.m_revision.m_era > m_backendsRevision.m_era;
    if (isRestored)
        return m_restored.merge(std::move(list), m_backends, m_withdrawn, now);
    return list.m_revision < m_backendsRevision ? list : m_restored.filter(std::move(list), m_backends, m_withdrawn);
}

BackendChanges StoreCache::reconciled(BackendChanges changes)
{
    return changes.m_revision <= m_backendsRevision ? changes : m_restored.filter(std::move(changes), m_backends);
}

std::vector<BackendIdentity> StoreCache::takeGone(Instant confirmedAt)
{
    std::vector<BackendIdentity> gone = m_restored.takeGone(confirmedAt);
    for (const BackendIdentity identity : gone)
        withdraw(identity, m_backendsRevision);
    return gone;
}

bool StoreCache::apply(const BackendList& list)
{
    if (list.m_revision < m_backendsRevision)
        return false;
    std::map<BackendIdentity, CachedBackend> listed;
    for (const AnnouncedBackend& backend : list.m_backends) {
        const auto held = m_backends.find(backend.m_identity);
        const bool isSame = held != m_backends.end() && isSameEntry(held->second.m_backend, backend);
        listed[backend.m_identity] = { backend, isSame ? held->second.m_revision : list.m_revision };
        m_withdrawn.erase(backend.m_identity);
    }
    std::vector<BackendIdentity> missing;
    for (const auto& [identity, entry] : m_backends) {
        if (!listed.contains(identity))
            missing.push_back(identity);
    }
    m_unreadable.clear();
    for (const UnreadableEntry& entry : list.m_unreadable) {
        if (entry.m_identity && !listed.contains(*entry.m_identity))
            m_unreadable[*entry.m_identity] = list.m_revision;
    }
    // Entries that appeared and vanished since the last list are missing, so the history restarts.
    m_backendHistoryStart = list.m_revision;
    m_backends = std::move(listed);
    for (const BackendIdentity identity : missing)
        withdraw(identity, list.m_revision);
    m_backendsRevision = list.m_revision;
    return true;
}

bool StoreCache::apply(const BackendChanges& changes)
{
    // Changes of a new era build on its list.
    if (changes.m_revision <= m_backendsRevision || changes.m_revision.m_era != m_backendsRevision.m_era)
        return false;
    for (const BackendChange& change : changes.m_changes) {
        m_unreadable.erase(change.m_identity);
        if (change.m_backend) {
            m_backends[change.m_identity] = { *change.m_backend, changes.m_revision };
            m_withdrawn.erase(change.m_identity);
        } else if (change.m_isUnreadable) {
            m_unreadable[change.m_identity] = changes.m_revision;
        } else {
            withdraw(change.m_identity, changes.m_revision);
        }
    }
    m_backendsRevision = changes.m_revision;
    return true;
}

void StoreCache::withdraw(BackendIdentity identity, StoreRevision revision)
{
    const auto known = m_backends.find(identity);
    RemovedBackend& removed = m_withdrawn[identity];
    removed.m_revision = revision;
    if (known != m_backends.end()) {
        removed.m_version = entryVersionOf(known->second.m_backend);
        m_backends.erase(known);
    }
    if (m_withdrawn.size() <= s_maxRemovals)
        return;
    const auto oldest = std::min_element(m_withdrawn.begin(), m_withdrawn.end(),
        [](const auto& left, const auto& right) { return left.second.m_revision < right.second.m_revision; });
    m_backendHistoryStart = std::max(m_backendHistoryStart, oldest->second.m_revision);
    m_withdrawn.erase(oldest);
}

bool StoreCache::apply(const ServiceDeclarations& declarations, StoreRevision revision)
{
    const ConfigVersion version = declarations.m_version;
    if (version <= m_otherFields.m_version)
        return false;
    std::map<std::string, ServiceEntry, std::less<>> services;
    for (const DeclaredService& service : declarations.m_services) {
        const auto held = m_services.find(service.m_name);
        const bool isSame = held != m_services.end() && held->second.m_service == service;
        services[service.m_name] = { service, isSame ? held->second.m_version : version };
        m_removedServices.erase(service.m_name);
    }
    for (const auto& [name, entry] : m_services) {
        if (!services.contains(name))
            removeService(name, version);
    }
    m_services = std::move(services);
    m_heldVersions.insert(version);
    if (m_heldVersions.size() > s_maxVersions)
        m_heldVersions.erase(m_heldVersions.begin());
    m_otherFields = declarations;
    m_otherFields.m_services.clear();
    m_declarationsRevision = revision;
    return true;
}

void StoreCache::removeService(const std::string& name, ConfigVersion version)
{
    m_removedServices[name] = version;
    if (m_removedServices.size() <= s_maxRemovals)
        return;
    const auto oldest = std::min_element(m_removedServices.begin(), m_removedServices.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    m_serviceRemovalHistoryStart = std::max(m_serviceRemovalHistoryStart, oldest->second);
    m_removedServices.erase(oldest);
}

std::optional<ServiceDeclarations> StoreCache::merged(const DeclarationUpdate& update) const
{
    const bool follows = update.m_isComplete || m_otherFields.m_version != ConfigVersion {};
    if (update.m_otherFields.m_version <= m_otherFields.m_version || !follows)
        return std::nullopt;
    std::map<std::string, DeclaredService> services;
    if (!update.m_isComplete) {
        for (const auto& [name, entry] : m_services)
            services.emplace(name, entry.m_service);
    }
    for (const DeclaredService& service : update.m_changed)
        services.insert_or_assign(service.m_name, service);
    for (const std::string& name : update.m_removed)
        services.erase(name);
    ServiceDeclarations declarations = update.m_otherFields;
    declarations.m_services.reserve(services.size());
    for (auto& [name, service] : services)
        declarations.m_services.push_back(std::move(service));
    return declarations;
}

DeclarationUpdate StoreCache::declarationsSince(ConfigVersion held) const
{
    DeclarationUpdate update;
    update.m_isComplete = held < m_serviceRemovalHistoryStart || !m_heldVersions.contains(held);
    update.m_otherFields = m_otherFields;
    for (const auto& [name, entry] : m_services) {
        if (update.m_isComplete || entry.m_version > held)
            update.m_changed.push_back(entry.m_service);
    }
    for (const auto& [name, version] : m_removedServices) {
        if (!update.m_isComplete && version > held)
            update.m_removed.push_back(name);
    }
    return update;
}

StoreUpdate StoreCache::updateSince(const StoreVersions& held) const
{
    StoreUpdate update;
    update.m_backendsRevision = m_backendsRevision;
    update.m_isComplete = held.m_backends < m_backendHistoryStart;
    for (const auto& [identity, entry] : m_backends) {
        // The receiver retains what it knows by itself, so that no VM keeps a missing entry beyond its own deadline.
        if ((update.m_isComplete || entry.m_revision > held.m_backends) && !m_restored.isRetained(identity))
            update.m_backends.push_back(entry.m_backend);
    }
    for (const auto& [identity, removed] : m_withdrawn) {
        if (!update.m_isComplete && removed.m_revision > held.m_backends)
            update.m_withdrawn.push_back(identity);
    }
    for (const auto& [identity, revision] : m_unreadable) {
        if (update.m_isComplete || revision > held.m_backends)
            update.m_unreadable.push_back(identity);
    }
    update.m_declarationsRevision = m_declarationsRevision;
    if (m_otherFields.m_version > held.m_declarations)
        update.m_declarations = declarationsSince(held.m_declarations);
    return update;
}

} // namespace cuminrelay
