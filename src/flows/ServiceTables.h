#pragma once

#include "configuration/Model.h"
#include "flows/OwnerMap.h"
#include "flows/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace cuminrelay {

/// Position of a service in one ServiceTables.
using ServiceIndex = std::uint16_t;

/// The default backend server of every possible flow of one service.
struct ServiceTable {
    std::string m_name;
    Endpoint m_address;
    Protocol m_protocol = Protocol::Tcp;
    std::vector<Endpoint> m_backends; ///< tunnels of the selected backend servers, sorted
    std::vector<std::uint16_t> m_slots; ///< index into m_backends by slot; empty when nothing is selected

    /// The default backend server of a flow. Precondition: m_slots is not empty.
    Endpoint defaultBackend(FlowHash hash) const { return m_backends[m_slots[hash.m_value % m_slots.size()]]; }

    bool contains(Endpoint backend) const;
};

/// The default backend server of every flow, computed from one configuration version alone: health, load and draining
/// never change it. Flows that were placed elsewhere are exceptions, which the flow table holds.
///
/// Cost: building is O(services * slots * backend servers of the service). Memory: 2 bytes a slot.
class ServiceTables {
public:
    explicit ServiceTables(const Configuration& configuration);

    ConfigVersion version() const { return m_version; }

    /// The service that owns an address, or nullptr.
    const ServiceTable* find(Endpoint address, Protocol protocol) const;

    std::span<const ServiceTable> services() const { return m_services; }

private:
    ConfigVersion m_version;
    std::vector<ServiceTable> m_services;
    boost::unordered_flat_map<std::uint64_t, ServiceIndex> m_byAddress;
};

} // namespace cuminrelay
