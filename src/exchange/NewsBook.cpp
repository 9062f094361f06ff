#include "exchange/NewsBook.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    bool isSameEntry(const AnnouncedBackend& left, const AnnouncedBackend& right)
    {
        return left.m_server == right.m_server && left.m_startedAtUnixMs == right.m_startedAtUnixMs;
    }

} // namespace

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
    if (m_backendsRevision == StoreRevision {})
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
    if (m_withdrawn.size() <= c_keptWithdrawals)
        return;
    const auto oldest = std::min_element(m_withdrawn.begin(), m_withdrawn.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    m_changesSince = std::max(m_changesSince, oldest->second);
    m_withdrawn.erase(oldest);
}

bool NewsBook::take(const ServiceDeclarations& declarations, StoreRevision revision)
{
    if (declarations.m_version <= m_declarations.m_version)
        return false;
    m_declarations = declarations;
    m_declarationsRevision = revision;
    return true;
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
    if (m_declarations.m_version > known.m_declarations)
        news.m_declarations = m_declarations;
    return news;
}

} // namespace cuminrelay
