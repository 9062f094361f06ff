#include "configuration/ConfigurationHolder.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace cuminrelay {

ConfigurationHolder::ConfigurationHolder()
    : m_retained { std::make_shared<const Configuration>() }
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
    m_retained.push_back(std::make_shared<const Configuration>(std::move(configuration)));
    evictOldest();
    return true;
}

void ConfigurationHolder::evictOldest()
{
    std::size_t backendServers = 0;
    for (const SharedConfiguration& retained : m_retained)
        backendServers += retained->m_backendServers.size();
    while (m_retained.size() > s_minimumVersions
        && (m_retained.size() > s_maximumVersions || backendServers > s_maximumBackendServers)) {
        backendServers -= m_retained.front()->m_backendServers.size();
        m_retained.pop_front();
    }
}

SharedConfiguration ConfigurationHolder::next(ConfigVersion heldVersion) const
{
    const auto found = std::ranges::find_if(
        m_retained, [heldVersion](const SharedConfiguration& retained) { return retained->m_version > heldVersion; });
    return found != m_retained.end() ? *found : nullptr;
}

std::vector<SharedConfiguration> ConfigurationHolder::after(ConfigVersion heldVersion) const
{
    std::vector<SharedConfiguration> newer;
    std::ranges::copy_if(m_retained, std::back_inserter(newer),
        [heldVersion](const SharedConfiguration& retained) { return retained->m_version > heldVersion; });
    return newer;
}

SharedConfiguration ConfigurationHolder::find(ConfigVersion version) const
{
    const auto found = std::ranges::find_if(
        m_retained, [version](const SharedConfiguration& retained) { return retained->m_version == version; });
    return found != m_retained.end() ? *found : nullptr;
}

} // namespace cuminrelay
