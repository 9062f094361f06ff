#include "flows/ServiceTables.h"

#include "base/Assert.h"
#include "base/Hash.h"
#include "configuration/Selector.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <oneapi/tbb/parallel_for.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_slotsPerBackend = 64;
    constexpr std::size_t c_minimumSlots = 256;
    constexpr std::size_t c_maximumSlots = 65536;

    std::uint64_t addressKey(Endpoint address, Protocol protocol)
    {
        return (address.packed() << 8) | static_cast<std::uint64_t>(protocol);
    }

    /// For each backend server, the share of a home zone's flows that has it as default; sums to 1.
    std::vector<double> zoneShares(std::span<const TableBackend> backends, std::size_t zoneCount, ZoneIndex home)
    {
        std::vector<double> perZone(zoneCount, 0);
        for (const TableBackend& backend : backends)
            perZone[backend.m_zone] += 1;
        const double zones = static_cast<double>(zoneCount);
        const double total = static_cast<double>(backends.size());
        const double kept = std::min(1.0, perZone[home] * zones / total);
        double spare = 0;
        for (const double count : perZone)
            spare += std::max(0.0, count / total - 1 / zones);

        std::vector<double> shares;
        shares.reserve(backends.size());
        for (const TableBackend& backend : backends) {
            const double count = perZone[backend.m_zone];
            if (backend.m_zone == home)
                shares.push_back(kept / count);
            else if (kept < 1)
                shares.push_back((1 - kept) * std::max(0.0, count / total - 1 / zones) / spare / count);
            else
                shares.push_back(0);
        }
        return shares;
    }

    /// Rounds shares to slot counts that sum to slotCount: largest remainder first, then lowest index.
    std::vector<std::uint32_t> slotQuotas(std::span<const double> shares, std::size_t slotCount)
    {
        std::vector<std::uint32_t> quotas;
        std::vector<double> remainders;
        std::size_t given = 0;
        for (const double share : shares) {
            const double exact = share * static_cast<double>(slotCount);
            quotas.push_back(static_cast<std::uint32_t>(exact));
            remainders.push_back(exact - static_cast<double>(quotas.back()));
            given += quotas.back();
        }
        std::vector<std::size_t> order(shares.size());
        std::iota(order.begin(), order.end(), std::size_t { 0 });
        std::stable_sort(order.begin(), order.end(),
            [&](std::size_t left, std::size_t right) { return remainders[left] > remainders[right]; });
        for (std::size_t i = 0; given < slotCount; i = (i + 1) % order.size()) {
            if (shares[order[i]] <= 0)
                continue;
            ++quotas[order[i]];
            ++given;
        }
        return quotas;
    }

    std::vector<ZoneIndex> computeHomeZones(std::span<const std::string> zones)
    {
        std::vector<std::uint64_t> keys;
        for (const std::string& zone : zones)
            keys.push_back(zoneRankKey(zone));
        std::vector<ZoneIndex> homes(c_bucketCount, 0);
        for (std::size_t bucket = 0; bucket < c_bucketCount; ++bucket) {
            std::uint64_t best = 0;
            for (std::size_t zone = 0; zone < keys.size(); ++zone) {
                const std::uint64_t rank = zoneRank(keys[zone], static_cast<Bucket>(bucket));
                if (zone == 0 || rank > best) {
                    best = rank;
                    homes[bucket] = static_cast<ZoneIndex>(zone);
                }
            }
        }
        return homes;
    }

    /// The backend servers that a service selects, sorted. Those in a zone without entry VMs are assigned to the first
    /// zone.
    std::vector<TableBackend> tableBackends(const Service& service, const Configuration& configuration)
    {
        std::vector<TableBackend> backends;
        for (const BackendServer& server : configuration.m_backendServers) {
            if (!matches(service.m_selector, server.m_labels))
                continue;
            const auto zone = std::find(configuration.m_zones.begin(), configuration.m_zones.end(), server.m_zone);
            const bool isListed = zone != configuration.m_zones.end();
            const std::size_t index = isListed ? static_cast<std::size_t>(zone - configuration.m_zones.begin()) : 0;
            backends.push_back(TableBackend { server.m_tunnel, static_cast<ZoneIndex>(index) });
        }
        std::sort(backends.begin(), backends.end());
        return backends;
    }

} // namespace

ServiceTable::ServiceTable(
    std::string name, Endpoint address, Protocol protocol, std::vector<TableBackend> backends, std::size_t zoneCount)
    : m_name(std::move(name))
    , m_address(address)
    , m_protocol(protocol)
    , m_zoneCount(zoneCount)
    , m_backends(std::move(backends))
{
    CR_ASSERT(zoneCount > 0, "a table needs at least one zone");
    for (const TableBackend& backend : m_backends)
        m_tunnels.push_back(backend.m_tunnel);
    if (m_backends.empty())
        return;
    m_slotCount = std::clamp(std::bit_ceil(m_backends.size() * c_slotsPerBackend), c_minimumSlots, c_maximumSlots);
    m_slots.resize(m_slotCount * zoneCount);
    for (std::size_t zone = 0; zone < zoneCount; ++zone) {
        const std::vector<double> shares = zoneShares(m_backends, zoneCount, static_cast<ZoneIndex>(zone));
        fillZone(static_cast<ZoneIndex>(zone), slotQuotas(shares, m_slotCount));
    }
}

void ServiceTable::fillZone(ZoneIndex home, std::span<const std::uint32_t> quotas)
{
    // Each slot gets the highest-ranked backend server with remaining quota, so that a change of the backend servers
    // moves few slots and the shares stay exact.
    struct Candidate {
        std::uint64_t m_rank;
        std::uint16_t m_index;
    };
    std::vector<std::uint32_t> left(quotas.begin(), quotas.end());
    std::vector<Candidate> candidates;
    for (std::size_t slot = 0; slot < m_slotCount; ++slot) {
        candidates.clear();
        const std::uint64_t slotKey = hashPair(m_address.packed(), (std::uint64_t { home } << 32) | slot);
        for (std::size_t i = 0; i < m_backends.size(); ++i) {
            if (left[i] > 0)
                candidates.push_back(
                    { hashPair(m_backends[i].m_tunnel.packed(), slotKey), static_cast<std::uint16_t>(i) });
        }
        const auto best = std::max_element(candidates.begin(), candidates.end(),
            [](const Candidate& one, const Candidate& other) { return one.m_rank < other.m_rank; });
        CR_ASSERT(best != candidates.end(), "the quotas of a zone must sum to its slots");
        m_slots[home * m_slotCount + slot] = best->m_index;
        --left[best->m_index];
    }
}

bool ServiceTable::isBuiltFrom(
    Endpoint address, Protocol protocol, std::span<const TableBackend> backends, std::size_t zoneCount) const
{
    return address == m_address && protocol == m_protocol && zoneCount == m_zoneCount
        && std::equal(backends.begin(), backends.end(), m_backends.begin(), m_backends.end());
}

ServiceTables::ServiceTables(const Configuration& configuration, const ServiceTables* previous)
    : m_version(configuration.m_version)
    , m_homeZones(computeHomeZones(configuration.m_zones))
    , m_services(configuration.m_services.size())
{
    const std::size_t zoneCount = std::max<std::size_t>(1, configuration.m_zones.size());
    tbb::parallel_for(std::size_t { 0 }, configuration.m_services.size(), [&](std::size_t i) {
        const Service& service = configuration.m_services[i];
        std::vector<TableBackend> backends = tableBackends(service, configuration);
        const std::size_t before = previous ? previous->indexOf(service.m_address, service.m_protocol) : s_notFound;
        if (before != s_notFound
            && previous->m_services[before]->isBuiltFrom(service.m_address, service.m_protocol, backends, zoneCount))
            m_services[i] = previous->m_services[before];
        else
            m_services[i] = std::make_shared<const ServiceTable>(
                service.m_name, service.m_address, service.m_protocol, std::move(backends), zoneCount);
    });
    for (std::size_t i = 0; i < m_services.size(); ++i)
        m_byAddress.emplace(addressKey(m_services[i]->address(), m_services[i]->protocol()), i);
}

std::size_t ServiceTables::indexOf(Endpoint address, Protocol protocol) const
{
    const auto found = m_byAddress.find(addressKey(address, protocol));
    return found == m_byAddress.end() ? s_notFound : found->second;
}

const ServiceTable* ServiceTables::find(Endpoint address, Protocol protocol) const
{
    const std::size_t index = indexOf(address, protocol);
    return index == s_notFound ? nullptr : m_services[index].get();
}

Endpoint ServiceTables::defaultBackend(const FlowKey& key, FlowHash hash) const
{
    const ServiceTable* const service = find(key.m_service, key.m_protocol);
    if (!service || service->empty())
        return {};
    return service->defaultBackend(hash, homeZone(bucketOf(hash)));
}

std::size_t ServiceTables::memoryBytes() const
{
    std::size_t bytes = m_homeZones.size() * sizeof(ZoneIndex);
    for (const std::shared_ptr<const ServiceTable>& service : m_services)
        bytes += service->memoryBytes();
    return bytes;
}

} // namespace cuminrelay
