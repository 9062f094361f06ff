#include "bench/ChangeStore.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

ChangeStore::ChangeStore(Configuration first)
    : m_highest(first.m_version)
{
    m_versions.push_back(std::make_shared<const Configuration>(std::move(first)));
}

Outcome<SharedConfiguration> ChangeStore::read(Instant now) const
{
    if (now < m_downUntil)
        return Error { ErrorKind::Unavailable, "the store is down" };
    const bool isStale = now < m_staleUntil && m_versions.size() > 1;
    return m_versions[m_versions.size() - (isStale ? 2 : 1)];
}

Outcome<ConfigVersion> ChangeStore::write(Configuration next, std::optional<ConfigVersion> expected, Instant now)
{
    if (now < m_downUntil)
        return Error { ErrorKind::Unavailable, "the store is down" };
    const ConfigVersion held = current()->m_version;
    if (expected && *expected != held)
        return Error { ErrorKind::Conflict, "the store holds another version" };
    next.m_version = ConfigVersion { held.m_number + 1 };
    const ConfigVersion written = next.m_version;
    m_highest = std::max(m_highest, written);
    m_writes.push_back({ now, written });
    m_versions.push_back(std::make_shared<const Configuration>(std::move(next)));
    return written;
}

void ChangeStore::restoreOlder(std::size_t versions)
{
    const std::size_t kept = m_versions.size() > versions ? m_versions.size() - versions : 1;
    m_wasRestored = m_wasRestored || kept < m_versions.size();
    m_versions.resize(kept);
}

SharedConfiguration ChangeStore::find(ConfigVersion version) const
{
    const auto found = std::ranges::find_if(
        m_versions, [version](const SharedConfiguration& kept) { return kept->m_version == version; });
    return found != m_versions.end() ? *found : nullptr;
}

ConfigVersion ChangeStore::highestWrittenBy(Instant when) const
{
    ConfigVersion highest;
    for (const Write& write : m_writes) {
        if (write.m_at <= when)
            highest = std::max(highest, write.m_version);
    }
    return highest;
}

} // namespace cuminrelay
