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

/// Position of a zone in the configuration's sorted list.
using ZoneIndex = std::uint16_t;

/// A selected backend server, as far as the default of a flow depends on it.
struct TableBackend {
    Endpoint m_tunnel;
    ZoneIndex m_zone = 0;

    friend constexpr auto operator<=>(const TableBackend&, const TableBackend&) = default;
};

/// The default backend server of every possible flow of one service. A flow's default is in the flow's home zone as far
/// as the zone has its share of the service's backend servers; the rest of the zone's flows is spread over zones that
/// have more than their share, so that every backend server is the default of as many flows.
///
/// Memory: 2 bytes for each zone and slot, with at least 64 slots for each backend server.
class ServiceTable {
public:
    ServiceTable(std::string name, Endpoint address, Protocol protocol, std::vector<TableBackend> backends,
        std::size_t zoneCount);

    const std::string& name() const { return m_name; }
    Endpoint address() const { return m_address; }
    Protocol protocol() const { return m_protocol; }

    /// Tunnels of the selected backend servers, sorted.
    std::span<const Endpoint> tunnels() const { return m_tunnels; }

    bool empty() const { return m_tunnels.empty(); }

    /// The default backend server of a flow whose home is the zone. Precondition: not empty().
    Endpoint defaultBackend(FlowHash hash, ZoneIndex home) const
    {
        return m_tunnels[m_slots[home * m_slotCount + (hash.m_value & (m_slotCount - 1))]];
    }

    /// Bytes of the slots.
    std::size_t memoryBytes() const { return m_slots.size() * sizeof(std::uint16_t); }

    /// Whether a table made of these inputs would be the same.
    bool madeOf(
        Endpoint address, Protocol protocol, std::span<const TableBackend> backends, std::size_t zoneCount) const;

private:
    void fillZone(ZoneIndex home, std::span<const std::uint32_t> quotas);

    std::string m_name;
    Endpoint m_address;
    Protocol m_protocol;
    std::size_t m_zoneCount;
    std::vector<TableBackend> m_backends; ///< sorted
    std::vector<Endpoint> m_tunnels; ///< of m_backends, in the same order
    std::size_t m_slotCount = 0; ///< of one zone; a power of two
    std::vector<std::uint16_t> m_slots; ///< index into m_tunnels by zone and slot
};

/// The defaults of all services, computed from one configuration version alone: health, load and draining never change
/// them. Flows that were placed elsewhere are exceptions, which the flow table holds.
///
/// Cost: O(slots * backend servers) for each service that changed; a service that did not change shares its table with
/// the previous version.
class ServiceTables {
public:
    /// previous: tables to share unchanged services with, or nullptr.
    explicit ServiceTables(const Configuration& configuration, const ServiceTables* previous = nullptr);

    ConfigVersion version() const { return m_version; }

    /// The service that owns an address, or nullptr.
    const ServiceTable* find(Endpoint address, Protocol protocol) const;

    /// The default of a flow, or an empty Endpoint when its service is unknown or selects nothing.
    Endpoint defaultBackend(const FlowKey& key, FlowHash hash) const;

    ZoneIndex homeZone(Bucket bucket) const { return m_homeZones[bucket]; }

    std::span<const std::shared_ptr<const ServiceTable>> services() const { return m_services; }

    /// Bytes of the slots that this version holds, shared or not.
    std::size_t memoryBytes() const;

private:
    static constexpr std::size_t s_notFound = static_cast<std::size_t>(-1);

    std::size_t indexOf(Endpoint address, Protocol protocol) const;

    ConfigVersion m_version;
    std::vector<ZoneIndex> m_homeZones; ///< by bucket
    std::vector<std::shared_ptr<const ServiceTable>> m_services;
    boost::unordered_flat_map<std::uint64_t, std::size_t> m_byAddress;
};

} // namespace cuminrelay
