#include "bench/BaselineDesigns.h"

namespace cuminrelay {

LocalDesign::LocalDesign(std::size_t vmCount)
    : m_vms(vmCount)
{
}

void LocalDesign::start(VmIndex vm, Instant)
{
    m_vms[vm] = Vm {};
}

void LocalDesign::stop(VmIndex vm)
{
    m_vms[vm] = Vm {};
}

void LocalDesign::beginLeaving(VmIndex) { }

bool LocalDesign::drained(VmIndex) const
{
    return true;
}

void LocalDesign::installConfiguration(VmIndex vm, const Configuration& configuration, Instant)
{
    const std::shared_ptr<const ServiceTables>& held = m_vms[vm].m_tables;
    if (held && held->version() >= configuration.m_version)
        return;
    if (!m_newestTables || m_newestTables->version() != configuration.m_version)
        m_newestTables = std::make_shared<const ServiceTables>(configuration, m_newestTables.get());
    m_vms[vm].m_tables = m_newestTables;
}

void LocalDesign::installMembers(VmIndex, const MemberView&, Instant) { }

void LocalDesign::applyReports(VmIndex, std::span<const BackendReport>) { }

FleetOutcome LocalDesign::route(VmIndex vm, const PacketSummary& packet, Instant)
{
    FleetOutcome outcome;
    outcome.m_lastVm = vm;
    const Endpoint backend = tables(vm) ? choose(vm, packet, hashFlow(packet.m_flow)) : Endpoint {};
    if (backend == Endpoint {}) {
        outcome.m_reason = Reason::NoBackendServer;
        return outcome;
    }
    outcome.m_kind = PacketActionKind::ToBackend;
    outcome.m_backend = backend;
    return outcome;
}

void LocalDesign::tick(VmIndex, Instant) { }

std::size_t LocalDesign::heldFlows() const
{
    std::size_t sum = 0;
    for (const Vm& vm : m_vms)
        sum += vm.m_flows.size();
    return sum;
}

Endpoint ModuloDesign::choose(VmIndex vm, const PacketSummary& packet, FlowHash hash)
{
    const ServiceTable* const service = tables(vm)->find(packet.m_flow.m_service, packet.m_flow.m_protocol);
    if (!service || service->empty())
        return {};
    return service->tunnels()[hash.m_value % service->tunnels().size()];
}

Endpoint ConnectionTableDesign::choose(VmIndex vm, const PacketSummary& packet, FlowHash hash)
{
    const auto tracked = flows(vm).find(hash.m_value);
    if (tracked != flows(vm).end())
        return tracked->second;
    const Endpoint backend = tables(vm)->defaultBackend(packet.m_flow, hash);
    flows(vm).emplace(hash.m_value, backend);
    return backend;
}

HorizonDesign::HorizonDesign(std::size_t vmCount, const Configuration& horizon)
    : LocalDesign(vmCount)
    , m_horizon(horizon)
{
}

Endpoint HorizonDesign::choose(VmIndex vm, const PacketSummary& packet, FlowHash hash)
{
    const auto tracked = flows(vm).find(hash.m_value);
    if (tracked != flows(vm).end())
        return tracked->second;
    const Endpoint backend = tables(vm)->defaultBackend(packet.m_flow, hash);
    if (backend != m_horizon.defaultBackend(packet.m_flow, hash))
        flows(vm).emplace(hash.m_value, backend);
    return backend;
}

Endpoint TokenByHashDesign::choose(VmIndex vm, const PacketSummary& packet, FlowHash hash)
{
    const auto token = m_tokenBackends.find(hash.m_value);
    if (token != m_tokenBackends.end() && packet.m_kind != PacketKind::Opening)
        return token->second;
    const Endpoint backend = tables(vm)->defaultBackend(packet.m_flow, hash);
    m_tokenBackends.insert_or_assign(hash.m_value, backend);
    return backend;
}

} // namespace cuminrelay
