#include "bench/NaiveAffinityDesign.h"

#include <algorithm>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr Duration c_openingMemory = std::chrono::seconds { 2 };

} // namespace

NaiveAffinityDesign::NaiveAffinityDesign(std::size_t vmCount, std::span<const std::string> zones)
    : LocalDesign(vmCount)
    , m_recent(vmCount)
{
    for (std::size_t i = 0; i < vmCount; ++i)
        m_zones.push_back(zones[i % zones.size()]);
}

void NaiveAffinityDesign::installConfiguration(VmIndex vm, const Configuration& configuration, Instant now)
{
    LocalDesign::installConfiguration(vm, configuration, now);
    for (const BackendServer& server : configuration.m_backendServers)
        m_backendZones[server.m_tunnel] = server.m_zone;
}

FleetOutcome NaiveAffinityDesign::route(VmIndex vm, const PacketSummary& packet, Instant now)
{
    m_now = now;
    return LocalDesign::route(vm, packet, now);
}

Endpoint NaiveAffinityDesign::choose(VmIndex vm, const PacketSummary& packet, FlowHash hash)
{
    const auto carried = m_carried.find(hash.m_value);
    if (carried != m_carried.end())
        return carried->second;
    const ServiceTable* const service = tables(vm)->find(packet.m_flow.m_service, packet.m_flow.m_protocol);
    if (!service)
        return {};
    std::erase_if(m_recent[vm], [this](const Opening& opening) { return m_now - opening.m_at > c_openingMemory; });
    Endpoint chosen;
    std::size_t fewest = std::numeric_limits<std::size_t>::max();
    for (const Endpoint backend : service->tunnels()) {
        if (m_backendZones[backend] != m_zones[vm] || recentOpenings(vm, backend) >= fewest)
            continue;
        chosen = backend;
        fewest = recentOpenings(vm, backend);
    }
    m_recent[vm].push_back({ chosen, m_now });
    m_carried.emplace(hash.m_value, chosen);
    return chosen;
}

std::size_t NaiveAffinityDesign::recentOpenings(VmIndex vm, Endpoint backend) const
{
    return static_cast<std::size_t>(std::ranges::count(m_recent[vm], backend, &Opening::m_backend));
}

} // namespace cuminrelay
