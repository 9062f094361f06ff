#pragma once

#include "flows/ServiceTables.h"

#include <memory>
#include <span>
#include <vector>

namespace cuminrelay {

/// The service tables of the configuration versions that may still be the base version of a bucket, oldest first.
/// Versions share the tables of unchanged services to save memory.
class TableHistory {
public:
    /// Appends tables. Returns false, and ignores them, unless their version is higher than the current one.
    bool append(std::shared_ptr<const ServiceTables> tables);

    /// The newest tables; nullptr before the first.
    const std::shared_ptr<const ServiceTables>& current() const { return m_current; }

    ConfigVersion currentVersion() const { return m_current ? m_current->version() : ConfigVersion {}; }

    /// The tables of a version; nullptr when they are not stored.
    const ServiceTables* find(ConfigVersion version) const;

    /// The flow's default under the first version from base on that has backend servers for its service; an empty
    /// Endpoint when no version has.
    Endpoint defaultSince(ConfigVersion base, const FlowKey& key, FlowHash hash) const;

    /// Whether the backend server is the flow's default under every version from base on that has backend servers for
    /// its service. False when no version has.
    bool isDefaultSince(ConfigVersion base, const FlowKey& key, FlowHash hash, Endpoint backend) const;

    /// Removes the versions below oldest, except the current one.
    void retireBelow(ConfigVersion oldest);

    std::size_t size() const { return m_tables.size(); }

private:
    std::vector<std::shared_ptr<const ServiceTables>> m_tables;
    std::shared_ptr<const ServiceTables> m_current;
};

} // namespace cuminrelay
