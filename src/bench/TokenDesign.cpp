#include "bench/TokenDesign.h"

#include <algorithm>
#include <array>

namespace cuminrelay {

namespace {

    constexpr Duration c_backlogDrainTime = std::chrono::milliseconds { 50 };

    BackendIdentity identityOf(Endpoint tunnel)
    {
        return { tunnel.packed() };
    }

    std::size_t bytesOf(const LoadMessage& message)
    {
        alignas(8) std::array<std::byte, c_maxLoadMessageBytes> buffer {};
        return encodeLoadMessage(message, buffer).size() + c_datagramHeaderBytes;
    }

} // namespace

ServiceDeclarations declarationsOf(const Configuration& configuration)
{
    ServiceDeclarations declarations;
    declarations.m_version = configuration.m_version;
    for (const Service& service : configuration.m_services) {
        if (service.m_protocol == Protocol::Udp)
            continue;
        declarations.m_services.push_back(
            { service.m_name, service.m_address, RequestKind::Idempotent, { { service.m_selector, 1 } } });
    }
    return declarations;
}

std::vector<AnnouncedBackend> announcedBackends(const Configuration& configuration)
{
    std::vector<AnnouncedBackend> announced;
    for (const BackendServer& server : configuration.m_backendServers)
        announced.push_back({ identityOf(server.m_tunnel), server, 1, {} });
    return announced;
}

TokenDesign::TokenDesign(std::span<const Endpoint> addresses, std::span<const std::string> zones, FleetNetwork& network,
    std::unique_ptr<FlowPlacement> placement)
    : m_network(network)
    , m_placement(std::move(placement))
{
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        Vm& vm = m_vms.emplace_back();
        vm.m_address = addresses[i];
        vm.m_zone = zones[i % zones.size()];
    }
}

void TokenDesign::start(VmIndex index, Instant now)
{
    Vm& vm = m_vms[index];
    std::vector<Endpoint> seeds;
    for (const Vm& other : m_vms) {
        if (other.m_address != vm.m_address)
            seeds.push_back(other.m_address);
    }
    TokenRouter::Options options;
    options.m_zone = vm.m_zone;
    vm.m_router = std::make_unique<TokenRouter>(std::move(options), *m_placement, m_observer);
    vm.m_peers = std::make_unique<ExchangePeers>(vm.m_address, hashZone(vm.m_zone), seeds);
    vm.m_pauseDetector = PauseDetector {};
    vm.m_loadMessageSchedule.emplace(c_exchangeBytesPerSecond);
    vm.m_lastRunAt = now;
    vm.m_isLeaving = false;
}

void TokenDesign::stop(VmIndex vm)
{
    m_vms[vm].m_router.reset();
    m_vms[vm].m_peers.reset();
}

void TokenDesign::beginLeaving(VmIndex vm)
{
    m_vms[vm].m_isLeaving = true;
}

/// Always true, because there is no flow state to hand over.
bool TokenDesign::drained(VmIndex) const
{
    return true;
}

void TokenDesign::installConfiguration(VmIndex index, const Configuration& configuration, Instant now)
{
    Vm& vm = m_vms[index];
    if (!vm.m_router->applyDeclarations(declarationsOf(configuration), now))
        return;
    vm.m_router->setStateConfirmed(Instant::max(), false);
    vm.m_router->backends().replaceAll(announcedBackends(configuration), now);
}

/// Without effect: VMs find each other through load messages.
void TokenDesign::installMembers(VmIndex, const MemberView&, Instant) { }

void TokenDesign::applyReports(VmIndex index, std::span<const BackendReport> reports)
{
    Vm& vm = m_vms[index];
    for (const BackendReport& report : reports) {
        if (report.m_health == BackendHealth::Unhealthy)
            vm.m_router->backends().withdraw(identityOf(report.m_backend), vm.m_lastRunAt);
    }
}

FleetOutcome TokenDesign::route(VmIndex index, const PacketSummary& packet, Instant now)
{
    Vm& vm = m_vms[index];
    detectPause(vm, now);
    const std::uint64_t hash = hashFlow(packet.m_flow).m_value;
    PacketSummary packetWithToken = packet;
    const auto token = m_tokens.find(hash);
    if (packet.m_kind == PacketKind::Datagram)
        packetWithToken.m_kind = token == m_tokens.end() ? PacketKind::Opening : PacketKind::Midstream;
    if (token != m_tokens.end() && packetWithToken.m_kind != PacketKind::Opening)
        packetWithToken.m_carriedToken = token->second;
    PacketAction action;
    vm.m_router->decide({ &packetWithToken, 1 }, { &action, 1 }, now);
    FleetOutcome outcome;
    outcome.m_kind = action.m_kind;
    outcome.m_reason = action.m_reason;
    outcome.m_backend = action.m_target;
    outcome.m_lastVm = index;
    if (action.m_kind == PacketActionKind::ToBackend)
        m_tokens.insert_or_assign(hash, action.m_token);
    return outcome;
}

void TokenDesign::tick(VmIndex index, Instant now)
{
    Vm& vm = m_vms[index];
    detectPause(vm, now);
    vm.m_router->tick(now);
    LoadMessage message;
    message.m_zone = hashZone(vm.m_zone);
    message.m_leaving = vm.m_isLeaving;
    message.m_storeVersions.m_declarations = vm.m_router->configVersion();
    vm.m_router->collectLocalLoad(message.m_loads);
    ContestedFlows& contested = vm.m_router->contestedFlows();
    if (!vm.m_loadMessageSchedule->isDue(message.m_loads, {}, contested.hasChanges(), now))
        return;
    message.m_peers = vm.m_peers->peersToGossip(now);
    message.m_contestedFlows = contested.takeForMessage(c_maxContestedFlows, now);
    const std::vector<Endpoint> targets = vm.m_peers->nextTargets(now);
    const std::size_t bytes = targets.size() * bytesOf(message);
    vm.m_loadMessageSchedule->recordLoadMessage(message.m_loads, {}, bytes, now, vm.m_peers->repeatAt(now));
    m_controlBytes += bytes;
    for (const Endpoint target : targets) {
        const VmIndex peer = m_network.vmAt(target);
        if (m_network.isRunning(peer) && m_network.reaches(index, peer))
            receive(m_vms[peer], vm.m_address, message, now);
    }
}

void TokenDesign::receive(Vm& vm, Endpoint sender, const LoadMessage& message, Instant now)
{
    vm.m_peers->recordMessage(sender, message, now);
    (void)vm.m_peers->takeNewPeers(); // not needed: all VMs are seeds
    (void)vm.m_peers->takeUngreeted();
    vm.m_router->applyPeerLoad(sender, message.m_loads, now, vm.m_peers->peerTimeout());
    for (const ContestedFlowReport& flow : message.m_contestedFlows)
        vm.m_router->contestedFlows().apply(flow, now);
}

void TokenDesign::detectPause(Vm& vm, Instant now)
{
    vm.m_lastRunAt = now;
    if (vm.m_pauseDetector.detect(now) > Duration::zero())
        vm.m_router->applyPause(now + c_backlogDrainTime);
}

std::size_t TokenDesign::heldFlows() const
{
    std::size_t sum = 0;
    for (const Vm& vm : m_vms)
        sum += vm.m_router ? vm.m_router->trackedFlows() : 0;
    return sum;
}

} // namespace cuminrelay
