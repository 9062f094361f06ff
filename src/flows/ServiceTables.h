#pragma once

#include "configuration/Model.h"
#include "flows/OwnerMap.h"
#include "packets/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace cuminrelay {

/// Index into the configuration's sorted list of zones.
using ZoneIndex = std::uint16_t;

/// The properties of a selected backend server that the defaults of flows depend on.
struct TableBackend {
    Endpoint m_tunnel;
    ZoneIndex m_zone = 0;

    friend constexpr auto operator<=>(const TableBackend&, const TableBackend&) = default;
};

/// Maps every possible flow of one service to its default backend server. A flow's default is in the flow's home zone
/// as far as that zone has its share of the service's backend servers. The remaining flows of the zone are spread over
/// zones with more than their share, so that all backend servers are the default of equally many flows.
///
/// Memory: 2 bytes for each zone and slot, with at least 64 slots for each backend server.
class ServiceTable {
public:
    ServiceTable(std::string name, Endpoint address, Protocol protocol, std::vector<TableBackend> backends,
        std::size_t zoneCount);

    const std::string& name() const { return m_name; }
    Endpoint address() const { return m_address; }
    Protocol protocol() const { return m_protocol; }

    /// The tunnel endpoints of the selected backend servers, sorted.
    std::span<const Endpoint> tunnels() const { return m_tunnels; }

    bool empty() const { return m_tunnels.empty(); }

    /// The default backend server of a flow with this home zone. Precondition: not empty().
    Endpoint defaultBackend(FlowHash hash, ZoneIndex home) const
    {
        return m_tunnels[m_slots[home * m_slotCount + (hash.m_value & (m_slotCount - 1))]];
    }

    std::size_t memoryBytes() const { return m_slots.size() * sizeof(std::uint16_t); }

    /// Whether a table built from these inputs would equal this one.
    bool isBuiltFrom(
        Endpoint address, Protocol protocol, std::span<const TableBackend> backends, std::size_t zoneCount) const;

private:
    void fillZone(ZoneIndex home, std::span<const std::uint32_t> quotas);

    std::string m_name;
    Endpoint m_address;
    Protocol m_protocol;
    std::size_t m_zoneCount;
    /// Sorted.
    std::vector<TableBackend> m_backends;
    /// Parallel to m_backends.
    std::vector<Endpoint> m_tunnels;
    /// Number of slots of each zone; a power of two.
    std::size_t m_slotCount = 0;
    /// Indices into m_tunnels, by zone, then slot.
    std::vector<std::uint16_t> m_slots;
};

/// The default backend servers of all services, computed from one configuration version alone: health, load and
/// draining do not change them. Flows that are placed elsewhere are overrides, which the flow table holds.
///
/// Cost: O(slots * backend servers) for each changed service; unchanged services share the table of the previous
/// version.
class ServiceTables {
public:
    /// previous: tables whose unchanged services are shared, or nullptr.
    explicit ServiceTables(const Configuration& configuration, const ServiceTables* previous = nullptr);

    ConfigVersion version() const { return m_version; }

    /// The service at an address, or nullptr.
    const ServiceTable* find(Endpoint address, Protocol protocol) const;

    /// The default backend server of a flow; an empty Endpoint when its service is unknown or selects no backend
    /// server.
    Endpoint defaultBackend(const FlowKey& key, FlowHash hash) const;

    ZoneIndex homeZone(Bucket bucket) const { return m_homeZones[bucket]; }

    std::span<const std::shared_ptr<const ServiceTable>> services() const { return m_services; }

    /// Includes tables shared with other versions.
    std::size_t memoryBytes() const;

private:
    static constexpr std::size_t s_notFound = static_cast<std::size_t>(-1);

    std::size_t indexOf(Endpoint address, Protocol protocol) const;

    ConfigVersion m_version;
    /// Indexed by bucket.
    std::vector<ZoneIndex> m_homeZones;
    std::vector<std::shared_ptr<const ServiceTable>> m_services;
    boost::unordered_flat_map<std::uint64_t, std::size_t> m_byAddress;
};

} // namespace cuminrelay
