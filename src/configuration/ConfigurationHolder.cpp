#include "configuration/ConfigurationHolder.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace cuminrelay {

ConfigurationHolder::ConfigurationHolder()
    : m_kept { std::make_shared<const Configuration>() }
{
}

Outcome<bool> ConfigurationHolder::offer(Configuration configuration)
{
    const ConfigVersion held = version();
    if (configuration.m_version < held) {
        return Error { ErrorKind::Stale,
            fmt::format("offered configuration version {} is older than the held version {}",
                configuration.m_version.m_number, held.m_number) };
    }
    if (configuration.m_version == held) {
        if (configuration == *current())
            return false;
        return Error { ErrorKind::Conflict,
            fmt::format(
                "offered configuration differs from the held configuration of the same version {}", held.m_number) };
    }
    m_kept.push_back(std::make_shared<const Configuration>(std::move(configuration)));
    dropOldest();
    return true;
}

void ConfigurationHolder::dropOldest()
{
    std::size_t backendServers = 0;
    for (const SharedConfiguration& kept : m_kept)
        backendServers += kept->m_backendServers.size();
    while (
        m_kept.size() > s_leastVersions && (m_kept.size() > s_keptVersions || backendServers > s_keptBackendServers)) {
        backendServers -= m_kept.front()->m_backendServers.size();
        m_kept.pop_front();
    }
}

SharedConfiguration ConfigurationHolder::next(ConfigVersion known) const
{
    const auto found
        = std::ranges::find_if(m_kept, [known](const SharedConfiguration& kept) { return kept->m_version > known; });
    return found != m_kept.end() ? *found : nullptr;
}

std::vector<SharedConfiguration> ConfigurationHolder::after(ConfigVersion known) const
{
    std::vector<SharedConfiguration> newer;
    std::ranges::copy_if(m_kept, std::back_inserter(newer),
        [known](const SharedConfiguration& kept) { return kept->m_version > known; });
    return newer;
}

SharedConfiguration ConfigurationHolder::find(ConfigVersion version) const
{
    const auto found = std::ranges::find_if(
        m_kept, [version](const SharedConfiguration& kept) { return kept->m_version == version; });
    return found != m_kept.end() ? *found : nullptr;
}

} // namespace cuminrelay
