#include "affinity/ServiceMap.h"

#include "configuration/Selector.h"

#include <algorithm>

namespace cuminrelay {

ServiceMap::ServiceMap(const ServiceDeclarations& declarations)
    : m_version(declarations.m_version)
    , m_healthChecks(declarations.m_healthChecks)
    , m_warmups(declarations.m_warmups)
    , m_hasWarmupRates(std::ranges::any_of(
          m_warmups, [](const WarmupDeclaration& warmup) { return warmup.m_requestsPerSecond > 0; }))
{
    m_entries.reserve(declarations.m_services.size());
    for (const DeclaredService& service : declarations.m_services) {
        Entry entry { service.m_kind, {} };
        for (const WeightedSelector& weighted : service.m_selectors)
            entry.m_targets.push_back({ indexOf(weighted.m_selector), weighted.m_weight });
        m_entries.emplace(service.m_address.packed(), std::move(entry));
    }
}

const ServiceMap::Entry* ServiceMap::find(Endpoint address) const
{
    const auto found = m_entries.find(address.packed());
    return found != m_entries.end() ? &found->second : nullptr;
}

std::string_view ServiceMap::healthPath(const Labels& labels) const
{
    const auto found = std::find_if(m_healthChecks.begin(), m_healthChecks.end(),
        [&labels](const HealthCheck& check) { return matches(check.m_selector, labels); });
    return found != m_healthChecks.end() ? std::string_view { found->m_path } : std::string_view {};
}

double ServiceMap::warmupRate(const Labels& labels) const
{
    const auto found = std::ranges::find_if(
        m_warmups, [&labels](const WarmupDeclaration& warmup) { return matches(warmup.m_selector, labels); });
    return found != m_warmups.end() ? found->m_requestsPerSecond : 0;
}

bool ServiceMap::names(const Labels& labels) const
{
    return std::ranges::any_of(m_selectors, [&labels](const Selector& selector) { return matches(selector, labels); })
        || std::ranges::any_of(
            m_healthChecks, [&labels](const HealthCheck& check) { return matches(check.m_selector, labels); });
}

SelectorIndex ServiceMap::indexOf(const Selector& selector)
{
    const auto found = std::find(m_selectors.begin(), m_selectors.end(), selector);
    const std::size_t index = static_cast<std::size_t>(found - m_selectors.begin());
    if (found == m_selectors.end())
        m_selectors.push_back(selector);
    return static_cast<SelectorIndex>(index);
}

} // namespace cuminrelay
