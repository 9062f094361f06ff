#include "flows/TableHistory.h"

#include <algorithm>

namespace cuminrelay {

bool TableHistory::append(std::shared_ptr<const ServiceTables> tables)
{
    if (m_current && tables->version() <= m_current->version())
        return false;
    m_tables.push_back(tables);
    m_current = std::move(tables);
    return true;
}

const ServiceTables* TableHistory::find(ConfigVersion version) const
{
    const auto found = std::find_if(m_tables.begin(), m_tables.end(),
        [version](const std::shared_ptr<const ServiceTables>& tables) { return tables->version() == version; });
    return found == m_tables.end() ? nullptr : found->get();
}

Endpoint TableHistory::defaultSince(ConfigVersion base, const FlowKey& key, FlowHash hash) const
{
    for (const std::shared_ptr<const ServiceTables>& tables : m_tables) {
        if (tables->version() < base)
            continue;
        const Endpoint backend = tables->defaultBackend(key, hash);
        if (backend != Endpoint {})
            return backend;
    }
    return {};
}

bool TableHistory::isDefaultSince(ConfigVersion base, const FlowKey& key, FlowHash hash, Endpoint backend) const
{
    const ServiceTable* previous = nullptr;
    ZoneIndex previousHome = 0;
    for (const std::shared_ptr<const ServiceTables>& tables : m_tables) {
        if (tables->version() < base)
            continue;
        const ServiceTable* const service = tables->find(key.m_service, key.m_protocol);
        if (!service || service->empty())
            continue;
        const ZoneIndex home = tables->homeZone(bucketOf(hash));
        if (service == previous && home == previousHome)
            continue;
        if (service->defaultBackend(hash, home) != backend)
            return false;
        previous = service;
        previousHome = home;
    }
    return previous != nullptr;
}

void TableHistory::retireBelow(ConfigVersion oldest)
{
    std::erase_if(m_tables, [&](const std::shared_ptr<const ServiceTables>& tables) {
        return tables->version() < oldest && tables != m_current;
    });
}

} // namespace cuminrelay
