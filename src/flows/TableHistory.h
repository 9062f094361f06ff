#pragma once

#include "flows/ServiceTables.h"

#include <memory>
#include <span>
#include <vector>

namespace cuminrelay {

/// The service tables of the configuration versions that some bucket may still be based on, oldest first. Versions
/// share the tables of services that did not change, so that keeping many of them is cheap.
class TableHistory {
public:
    /// Appends tables; ignored and false when a version at least as high is held.
    bool append(std::shared_ptr<const ServiceTables> tables);

    /// The newest tables, or nullptr before the first.
    const std::shared_ptr<const ServiceTables>& current() const { return m_current; }

    ConfigVersion currentVersion() const { return m_current ? m_current->version() : ConfigVersion {}; }

    /// The tables of a version, or nullptr when they are not held.
    const ServiceTables* find(ConfigVersion version) const;

    /// The flow's default under the first version from base on that has backend servers for its service; an empty
    /// Endpoint when there is none.
    Endpoint defaultSince(ConfigVersion base, const FlowKey& key, FlowHash hash) const;

    /// Whether the backend server is the flow's default under every version from base on that has backend servers for
    /// its service, and there is one.
    bool isDefaultSince(ConfigVersion base, const FlowKey& key, FlowHash hash, Endpoint backend) const;

    /// Drops the versions below the given one, but never the current one.
    void retireBelow(ConfigVersion oldest);

    std::size_t size() const { return m_tables.size(); }

private:
    std::vector<std::shared_ptr<const ServiceTables>> m_tables;
    std::shared_ptr<const ServiceTables> m_current;
};

} // namespace cuminrelay
