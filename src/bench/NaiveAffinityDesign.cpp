#include "bench/NaiveAffinityDesign.h"

#include <algorithm>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr Duration c_openingWindow = std::chrono::seconds { 2 };

} // namespace

NaiveAffinityDesign::NaiveAffinityDesign(std::size_t vmCount, std::span<const std::string> zones)
    : LocalDesign(vmCount)
    , m_recentOpenings(vmCount)
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
    const auto token = m_tokenBackends.find(hash.m_value);
    if (token != m_tokenBackends.end())
        return token->second;
    const ServiceTable* const service = tables(vm)->find(packet.m_flow.m_service, packet.m_flow.m_protocol);
    if (!service)
        return {};
    std::erase_if(
        m_recentOpenings[vm], [this](const Opening& opening) { return m_now - opening.m_at > c_openingWindow; });
    Endpoint chosen;
    std::size_t fewest = std::numeric_limits<std::size_t>::max();
    for (const Endpoint backend : service->tunnels()) {
        if (m_backendZones[backend] != m_zones[vm] || countRecentOpenings(vm, backend) >= fewest)
            continue;
        chosen = backend;
        fewest = countRecentOpenings(vm, backend);
    }
    m_recentOpenings[vm].push_back({ chosen, m_now });
    m_tokenBackends.emplace(hash.m_value, chosen);
    return chosen;
}

std::size_t NaiveAffinityDesign::countRecentOpenings(VmIndex vm, Endpoint backend) const
{
    return static_cast<std::size_t>(std::ranges::count(m_recentOpenings[vm], backend, &Opening::m_backend));
}

} // namespace cuminrelay
