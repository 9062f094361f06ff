#include "exchange/NewsBook.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    bool isSameEntry(const AnnouncedBackend& left, const AnnouncedBackend& right)
    {
        return left.m_server == right.m_server && left.m_startedAtUnixMs == right.m_startedAtUnixMs;
    }

} // namespace

BackendChanges changesOf(const News& news)
{
    BackendChanges changes;
    changes.m_revision = news.m_backendsRevision;
    for (const AnnouncedBackend& backend : news.m_backends)
        changes.m_changes.push_back({ backend.m_identity, backend });
    for (const BackendIdentity identity : news.m_withdrawn)
        changes.m_changes.push_back({ identity, {} });
    return changes;
}

bool NewsBook::take(const BackendList& list)
{
    if (list.m_revision < m_backendsRevision)
        return false;
    std::map<BackendIdentity, Entry> listed;
    for (const AnnouncedBackend& backend : list.m_backends) {
        const auto known = m_backends.find(backend.m_identity);
        const bool isSame = known != m_backends.end() && isSameEntry(known->second.m_backend, backend);
        listed[backend.m_identity] = { backend, isSame ? known->second.m_revision : list.m_revision };
        m_withdrawn.erase(backend.m_identity);
    }
    std::vector<BackendIdentity> missing;
    for (const auto& [identity, entry] : m_backends) {
        if (!listed.contains(identity))
            missing.push_back(identity);
    }
    // Entries that appeared and vanished between two lists cannot be seen.
    m_changesSince = list.m_revision;
    m_backends = std::move(listed);
    for (const BackendIdentity identity : missing)
        withdraw(identity, list.m_revision);
    m_backendsRevision = list.m_revision;
    return true;
}

bool NewsBook::take(const BackendChanges& changes)
{
    if (changes.m_revision <= m_backendsRevision)
        return false;
    for (const BackendChange& change : changes.m_changes) {
        if (change.m_backend) {
            m_backends[change.m_identity] = { *change.m_backend, changes.m_revision };
            m_withdrawn.erase(change.m_identity);
        } else {
            withdraw(change.m_identity, changes.m_revision);
        }
    }
    m_backendsRevision = changes.m_revision;
    return true;
}

void NewsBook::withdraw(BackendIdentity identity, StoreRevision revision)
{
    m_backends.erase(identity);
    m_withdrawn[identity] = revision;
    if (m_withdrawn.size() <= s_keptRemovals)
        return;
    const auto oldest = std::min_element(m_withdrawn.begin(), m_withdrawn.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    m_changesSince = std::max(m_changesSince, oldest->second);
    m_withdrawn.erase(oldest);
}

bool NewsBook::take(const ServiceDeclarations& declarations, StoreRevision revision)
{
    const ConfigVersion version = declarations.m_version;
    if (version <= m_rest.m_version)
        return false;
    std::map<std::string, ServiceEntry, std::less<>> services;
    for (const DeclaredService& service : declarations.m_services) {
        const auto known = m_services.find(service.m_name);
        const bool isSame = known != m_services.end() && known->second.m_service == service;
        services[service.m_name] = { service, isSame ? known->second.m_version : version };
        m_removedServices.erase(service.m_name);
    }
    for (const auto& [name, entry] : m_services) {
        if (!services.contains(name))
            removeService(name, version);
    }
    m_services = std::move(services);
    m_heldVersions.insert(version);
    if (m_heldVersions.size() > s_keptVersions)
        m_heldVersions.erase(m_heldVersions.begin());
    m_rest = declarations;
    m_rest.m_services.clear();
    m_declarationsRevision = revision;
    return true;
}

void NewsBook::removeService(const std::string& name, ConfigVersion version)
{
    m_removedServices[name] = version;
    if (m_removedServices.size() <= s_keptRemovals)
        return;
    const auto oldest = std::min_element(m_removedServices.begin(), m_removedServices.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    m_servicesSince = std::max(m_servicesSince, oldest->second);
    m_removedServices.erase(oldest);
}

std::optional<ServiceDeclarations> NewsBook::merged(const DeclarationNews& news) const
{
    const bool follows = news.m_isComplete || m_rest.m_version != ConfigVersion {};
    if (news.m_rest.m_version <= m_rest.m_version || !follows)
        return std::nullopt;
    std::map<std::string, DeclaredService> services;
    if (!news.m_isComplete) {
        for (const auto& [name, entry] : m_services)
            services.emplace(name, entry.m_service);
    }
    for (const DeclaredService& service : news.m_changed)
        services.insert_or_assign(service.m_name, service);
    for (const std::string& name : news.m_removed)
        services.erase(name);
    ServiceDeclarations declarations = news.m_rest;
    declarations.m_services.reserve(services.size());
    for (auto& [name, service] : services)
        declarations.m_services.push_back(std::move(service));
    return declarations;
}

DeclarationNews NewsBook::declarationsSince(ConfigVersion known) const
{
    DeclarationNews news;
    news.m_isComplete = known < m_servicesSince || !m_heldVersions.contains(known);
    news.m_rest = m_rest;
    for (const auto& [name, entry] : m_services) {
        if (news.m_isComplete || entry.m_version > known)
            news.m_changed.push_back(entry.m_service);
    }
    for (const auto& [name, version] : m_removedServices) {
        if (!news.m_isComplete && version > known)
            news.m_removed.push_back(name);
    }
    return news;
}

News NewsBook::since(const KnownState& known) const
{
    News news;
    news.m_backendsRevision = m_backendsRevision;
    news.m_isComplete = known.m_backends < m_changesSince;
    for (const auto& [identity, entry] : m_backends) {
        if (news.m_isComplete || entry.m_revision > known.m_backends)
            news.m_backends.push_back(entry.m_backend);
    }
    for (const auto& [identity, revision] : m_withdrawn) {
        if (!news.m_isComplete && revision > known.m_backends)
            news.m_withdrawn.push_back(identity);
    }
    news.m_declarationsRevision = m_declarationsRevision;
    if (m_rest.m_version > known.m_declarations)
        news.m_declarations = declarationsSince(known.m_declarations);
    return news;
}

} // namespace cuminrelay
