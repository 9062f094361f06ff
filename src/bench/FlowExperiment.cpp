#include "bench/FlowExperiment.h"

#include "base/Assert.h"

#include <algorithm>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    constexpr Duration c_tickInterval = std::chrono::milliseconds { 50 };
    constexpr Duration c_reportInterval = std::chrono::seconds { 1 };
    constexpr Duration c_viewInterval = std::chrono::milliseconds { 100 };
    constexpr Duration c_warmUp = std::chrono::seconds { 5 };

    /// Minimum time until a VM detects an unresponsive peer. Views change up to c_maxViewSkew later.
    constexpr Duration c_peerTimeout = std::chrono::milliseconds { 1500 };
    constexpr Duration c_maxViewSkew = std::chrono::milliseconds { 500 };

    /// Delay until a stopped VM leaves the platform's VM list and the fabric's.
    constexpr Duration c_listLag = std::chrono::seconds { 10 };
    constexpr Duration c_fabricLag = std::chrono::milliseconds { 1000 };

    constexpr Duration c_maxConfigurationSkew = std::chrono::seconds { 2 };
    constexpr Duration c_backendFailureDetectionTime = std::chrono::seconds { 3 };
    constexpr Duration c_pauseDuration = std::chrono::seconds { 3 };
    constexpr Duration c_restartDuration = std::chrono::milliseconds { 300 };
    constexpr Duration c_partitionDuration = std::chrono::seconds { 6 };
    constexpr Duration c_disturbanceDuration = std::chrono::seconds { 3 };
    constexpr Duration c_minEstablishedAge = std::chrono::seconds { 2 };

    /// Callers retransmit with exponential backoff from 200 ms (opening packets: 1 s), and give up after
    /// c_openingAttempts or c_stallTimeout.
    constexpr Duration c_retransmissionTimeout = std::chrono::milliseconds { 200 };
    constexpr Duration c_openingRetransmissionTimeout = std::chrono::seconds { 1 };
    constexpr unsigned c_openingAttempts = 6;
    constexpr Duration c_stallTimeout = std::chrono::seconds { 30 };

    constexpr double c_disturbanceRate = 0.05;
    constexpr std::size_t c_socketQueueLimit = 512;

    constexpr std::uint16_t c_peersPort = 4001;
    constexpr std::uint16_t c_tunnelPort = 5555;
    constexpr std::uint32_t c_vmNetwork = 0x0a000000;
    constexpr std::uint32_t c_backendNetwork = 0x0a010000;
    constexpr std::uint32_t c_serviceNetwork = 0x0a020000;
    constexpr std::uint32_t c_callerNetwork = 0x0b000000;

    Duration seconds(double value)
    {
        return Duration { static_cast<std::int64_t>(value * 1e6) };
    }

    Configuration withLabel(Configuration configuration, Endpoint tunnel, std::string_view value)
    {
        for (BackendServer& server : configuration.m_backendServers) {
            if (server.m_tunnel == tunnel)
                server.m_labels["tier"] = value;
        }
        return configuration;
    }

} // namespace

struct FlowExperiment::Vm {
    struct QueuedPacket {
        std::size_t m_flow = 0;
        PacketSummary m_packet;
    };

    struct ConfigurationDelivery {
        Instant m_at {};
        std::size_t m_version = 0; ///< index in m_published
    };

    Member m_member;
    bool m_dead = false;
    Deadline m_pausedUntil {};
    bool m_leaving = false;
    Instant m_unresponsiveSince {}; ///< when it stopped responding; epoch while it responds
    Instant m_startedAt {};
    Instant m_leavingSince {};
    Deadline m_startsAt {};
    MemberView m_view; ///< last installed
    std::vector<Duration> m_viewSkews; ///< delay of updates about each VM
    std::vector<QueuedPacket> m_socketQueue; ///< packets that arrived during a pause
    std::vector<ConfigurationDelivery> m_configurationDeliveries;
};

/// Kernel of a simulated backend server, with its connections.
struct FlowExperiment::Backend {
    std::string m_service;
    std::string m_zone;
    std::set<std::size_t> m_flows; ///< flows with an open connection
    bool m_dead = false;
    Instant m_diedAt {};
};

struct FlowExperiment::CallerFlow {
    enum class Step : std::uint8_t {
        Opening,
        Established,
        HalfClosed, ///< the FIN was delivered; the last acknowledgment was not
        Closing, ///< the FIN was sent
        Finished,
    };

    FlowKey m_key;
    Step m_step = Step::Finished;
    Endpoint m_backend; ///< of the established connection
    std::set<Endpoint> m_openedBackends;
    Instant m_openingTime {};
    Instant m_lastProgressAt {};
    Deadline m_endsAt {};
    Duration m_sendInterval {};
    Duration m_backoff {};
    std::uint32_t m_sequence = 0;
    std::uint32_t m_generation = 0; ///< distinguishes events of earlier flows in this slot
    unsigned m_attempts = 0;
    unsigned m_deliveredPackets = 0;
    FlowStep m_stepAtFault = FlowStep::Later;
    std::uint16_t m_payload = 0; ///< bytes
};

bool FlowExperiment::LaterEvent::operator()(const Event& one, const Event& other) const
{
    return one.m_at != other.m_at ? one.m_at > other.m_at : one.m_order > other.m_order;
}

std::optional<FleetProfile> findFleetProfile(std::string_view name)
{
    if (name == "shirakaba")
        return FleetProfile { "shirakaba", { "asahikawa-a", "furano-c", "nayoro-b" }, 8,
            { { "kanteisha", 15, 0.8 }, { "chosa-bako", 4, 0.2 } } };
    if (name == "kalahari")
        return FleetProfile { "kalahari", { "khomas-a", "khomas-b", "khomas-c", "khomas-d" }, 8,
            { { "agenda", 15, 0.8 }, { "abstracts", 4, 0.2 } } };
    return std::nullopt;
}

Configuration makeConfiguration(const FleetProfile& profile)
{
    constexpr std::uint32_t backendsPerService = 256;
    constexpr std::uint16_t servicePort = 443;
    constexpr std::uint32_t connectionLimit = 2000;

    Configuration configuration;
    configuration.m_version = ConfigVersion { 1 };
    configuration.m_zones = profile.m_zones;
    std::uint32_t serviceNumber = 0;
    for (const FleetProfile::ServiceSize& size : profile.m_services) {
        ++serviceNumber;
        Service service;
        service.m_name = size.m_name;
        service.m_address = Endpoint { c_serviceNetwork + serviceNumber, servicePort };
        service.m_selector.m_requirements = {
            { "app", SelectorOperator::Equals, { size.m_name } },
            { "tier", SelectorOperator::Equals, { "serving" } },
        };
        for (const Protocol protocol : { Protocol::Tcp, Protocol::Udp }) {
            service.m_protocol = protocol;
            configuration.m_services.push_back(service);
        }
        for (std::uint32_t i = 0; i <= size.m_backendServers; ++i) {
            BackendServer server;
            server.m_name = fmt::format("{}-{:02}", size.m_name, i);
            server.m_zone = profile.m_zones[i % profile.m_zones.size()];
            server.m_tunnel = Endpoint { c_backendNetwork + serviceNumber * backendsPerService + i, c_tunnelPort };
            server.m_connectionLimit = connectionLimit;
            server.m_slots = 2;
            server.m_labels = { { "app", size.m_name }, { "tier", i < size.m_backendServers ? "serving" : "standby" } };
            configuration.m_backendServers.push_back(server);
        }
    }
    return configuration;
}

std::string_view faultName(FaultKind kind)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(FaultKind::Count)> s_names { "none",
        "kill-vm", "pause-vm", "restart-vm", "replace-vm", "kill-backend", "drain-backend", "add-backend",
        "remove-backend", "cut-zone", "lose-packets", "duplicate-packets", "lose-answers" };
    return s_names[static_cast<std::size_t>(kind)];
}

std::string_view flowStepName(FlowStep step)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(FlowStep::Count)> s_names { "opening",
        "first-data", "established", "half-closed", "closing", "later" };
    return s_names[static_cast<std::size_t>(step)];
}

bool isPlanned(FaultKind kind)
{
    return kind == FaultKind::None || kind == FaultKind::ReplaceVm || kind == FaultKind::DrainBackend
        || kind == FaultKind::AddBackend || kind == FaultKind::RemoveBackend;
}

FlowExperiment::FlowExperiment(FlowExperimentSettings settings, const DesignFactory& makeDesign)
    : m_settings(std::move(settings))
    , m_random(m_settings.m_seed)
    , m_configuration(makeConfiguration(m_settings.m_profile))
{
    std::vector<Endpoint> addresses;
    for (std::size_t i = 0; i < m_settings.m_profile.m_entryVms; ++i) {
        Vm vm;
        vm.m_member.m_peers = Endpoint { c_vmNetwork + static_cast<std::uint32_t>(i) + 1, c_peersPort };
        vm.m_member.m_name = fmt::format("entry-{}", i);
        vm.m_member.m_zone = m_settings.m_profile.m_zones[i % m_settings.m_profile.m_zones.size()];
        vm.m_startedAt = m_now;
        for (std::size_t j = 0; j < m_settings.m_profile.m_entryVms; ++j)
            vm.m_viewSkews.emplace_back(static_cast<std::int64_t>(m_random.below(c_maxViewSkew.count())));
        addresses.push_back(vm.m_member.m_peers);
        m_vmByAddress.emplace(vm.m_member.m_peers, i);
        m_vms.push_back(std::move(vm));
    }
    for (const BackendServer& server : m_configuration.m_backendServers) {
        Backend backend;
        backend.m_service = server.m_labels.at("app");
        backend.m_zone = server.m_zone;
        m_backends.emplace(server.m_tunnel, std::move(backend));
    }
    m_published.push_back(m_configuration);
    m_design = makeDesign(addresses, *this);
}

FlowExperiment::~FlowExperiment() = default;

FlowExperimentResult FlowExperiment::run()
{
    for (VmIndex vm = 0; vm < m_vms.size(); ++vm)
        startVm(vm);
    const Instant begin = m_now;
    const Deadline end = begin + c_warmUp + m_settings.m_length;
    Deadline nextTick = begin;
    Deadline nextArrival = begin + std::chrono::seconds { 1 };
    std::size_t nextFault = 0;
    while (m_now < end) {
        const Instant nextEvent = m_events.empty() ? end : m_events.top().m_at;
        m_now = std::min({ nextTick, nextArrival, nextEvent, end });
        if (m_now == nextTick) {
            for (; nextFault < m_settings.m_faults.size(); ++nextFault) {
                const FaultEvent& fault = m_settings.m_faults[nextFault];
                if (m_now < begin + c_warmUp + (fault.m_at - Instant {}))
                    break;
                injectFault(fault);
            }
            tick();
            nextTick += c_tickInterval;
        } else if (m_now == nextArrival) {
            openFlow();
            nextArrival += seconds(m_random.exponentialSeconds(m_settings.m_arrivalsPerSecond)) + Duration { 1 };
        } else if (m_now == nextEvent && m_now < end) {
            const Event event = m_events.top();
            m_events.pop();
            if (m_flows[event.m_flow].m_generation == event.m_generation)
                sendNext(event.m_flow);
        }
    }
    m_result.m_relayedPackets = m_design->relayedPackets();
    m_result.m_controlBytes = m_design->controlBytes();
    m_result.m_heldFlows = m_design->heldFlows();
    for (const CallerFlow& flow : m_flows) {
        if (flow.m_step == CallerFlow::Step::Established)
            ++m_result.m_liveFlows;
    }
    m_result.m_lastFault = m_lastFault;
    m_result.m_worstImbalance = imbalance();
    return m_result;
}

void FlowExperiment::openFlow()
{
    constexpr double feedShare = 0.15;
    constexpr double uploadShare = 0.05;
    constexpr double datagramShare = 0.1;

    std::size_t index = m_flows.size();
    if (m_freeFlows.empty()) {
        m_flows.emplace_back();
    } else {
        index = m_freeFlows.back();
        m_freeFlows.pop_back();
    }
    const std::uint32_t generation = m_flows[index].m_generation + 1;
    CallerFlow flow;
    flow.m_generation = generation;
    flow.m_step = CallerFlow::Step::Opening;
    flow.m_openingTime = flow.m_lastProgressAt = m_now;
    flow.m_backoff = c_openingRetransmissionTimeout;
    flow.m_sequence = static_cast<std::uint32_t>(m_random.below(1ULL << 32));

    const bool toSecondService = m_random.chance(m_settings.m_profile.m_services[1].m_arrivalShare);
    flow.m_key.m_service = m_configuration.m_services[toSecondService ? 2 : 0].m_address;
    flow.m_key.m_caller = Endpoint { c_callerNetwork + static_cast<std::uint32_t>(m_random.below(1U << 20)),
        static_cast<std::uint16_t>(1024 + m_random.below(60000)) };
    const double kind = m_random.fraction();
    if (kind < feedShare) {
        flow.m_sendInterval = seconds(0.2 + 2 * m_random.fraction());
        flow.m_endsAt = m_now + std::chrono::hours { 1 };
        flow.m_payload = 64;
    } else if (kind < feedShare + uploadShare) {
        flow.m_sendInterval = seconds(0.1);
        flow.m_endsAt = m_now + seconds(2 + 8 * m_random.fraction());
        flow.m_payload = 60000;
    } else {
        if (kind < feedShare + uploadShare + datagramShare)
            flow.m_key.m_protocol = Protocol::Udp;
        flow.m_sendInterval = seconds(0.05 + 0.1 * m_random.fraction());
        flow.m_endsAt = m_now + seconds(0.1 + m_random.exponentialSeconds(2));
        flow.m_payload = 500;
    }
    m_flows[index] = std::move(flow);
    sendNext(index);
}

void FlowExperiment::sendNext(std::size_t index)
{
    CallerFlow& flow = m_flows[index];
    if (flow.m_step == CallerFlow::Step::Finished)
        return;
    if (flow.m_step == CallerFlow::Step::Opening && flow.m_attempts++ == c_openingAttempts) {
        breakFlow(flow, m_result.m_neverOpened, {}, PacketKind::Opening);
        return;
    }
    const bool onDeadBackend = flow.m_backend != Endpoint {} && m_backends.at(flow.m_backend).m_dead;
    if (flow.m_step != CallerFlow::Step::Opening && m_now > flow.m_lastProgressAt + c_stallTimeout) {
        breakFlow(
            flow, onDeadBackend ? m_result.m_brokenOnDeadBackend : m_result.m_brokenByStall, {}, PacketKind::Midstream);
        return;
    }
    if (flow.m_step == CallerFlow::Step::Established && m_now >= flow.m_endsAt)
        flow.m_step = CallerFlow::Step::Closing;

    PacketSummary packet;
    packet.m_flow = flow.m_key;
    packet.m_sequence = flow.m_sequence;
    packet.m_payloadBytes = flow.m_payload;
    packet.m_acknowledgment = flow.m_deliveredPackets; // the backend server answers each packet with one byte
    if (flow.m_key.m_protocol == Protocol::Udp) {
        packet.m_kind = PacketKind::Datagram;
    } else if (flow.m_step == CallerFlow::Step::Opening) {
        packet.m_kind = PacketKind::Opening;
        packet.m_retransmissions = static_cast<std::uint8_t>(flow.m_attempts - 1);
        packet.m_payloadBytes = 0;
    } else if (flow.m_step == CallerFlow::Step::Closing) {
        packet.m_kind = PacketKind::HalfClose;
        packet.m_payloadBytes = 0;
    } else if (flow.m_step == CallerFlow::Step::HalfClosed) {
        packet.m_payloadBytes = 0;
    }
    const std::uint32_t generation = flow.m_generation;
    const bool duplicated = m_now < m_duplicationEnds && m_random.chance(c_disturbanceRate);
    for (unsigned copy = 0; copy < (duplicated ? 2U : 1U); ++copy) {
        const std::optional<VmIndex> vm = selectVm(packet.m_flow);
        ++m_result.m_packets;
        if (vm && m_flows[index].m_generation == generation && m_flows[index].m_step != CallerFlow::Step::Finished)
            deliver(index, *vm, packet);
    }
    if (m_flows[index].m_generation == generation)
        scheduleNext(index);
}

void FlowExperiment::scheduleNext(std::size_t index)
{
    CallerFlow& flow = m_flows[index];
    if (flow.m_step == CallerFlow::Step::Finished)
        return;
    Duration wait = flow.m_sendInterval;
    if (flow.m_step == CallerFlow::Step::Opening || flow.m_lastProgressAt < m_now) {
        wait = flow.m_backoff;
        flow.m_backoff *= 2;
    } else {
        flow.m_backoff = c_retransmissionTimeout;
    }
    m_events.push(Event { m_now + wait, m_nextEvent++, index, flow.m_generation });
}

std::optional<VmIndex> FlowExperiment::selectVm(const FlowKey& flow)
{
    std::vector<VmIndex> listed;
    for (VmIndex vm = 0; vm < m_vms.size(); ++vm) {
        const Vm& candidate = m_vms[vm];
        const bool isListed = !candidate.m_dead || m_now < candidate.m_unresponsiveSince + c_fabricLag;
        const bool isRemoved = candidate.m_leaving && m_now > candidate.m_leavingSince + c_fabricLag;
        if (isListed && !isRemoved)
            listed.push_back(vm);
    }
    if (listed.empty())
        return std::nullopt;
    const bool byHash = m_settings.m_fabric == FabricKind::EachFlowByHash;
    const VmIndex vm = listed[byHash ? hashFlow(flow).m_value % listed.size() : m_random.below(listed.size())];
    return m_vms[vm].m_dead ? std::nullopt : std::optional<VmIndex> { vm };
}

void FlowExperiment::deliver(std::size_t index, VmIndex vm, const PacketSummary& packet)
{
    if (m_now < m_vms[vm].m_pausedUntil) {
        if (m_vms[vm].m_socketQueue.size() < c_socketQueueLimit)
            m_vms[vm].m_socketQueue.push_back(Vm::QueuedPacket { index, packet });
        return;
    }
    applyOutcome(index, packet, m_design->route(vm, packet, m_now));
}

void FlowExperiment::applyOutcome(std::size_t index, const PacketSummary& packet, const FleetOutcome& outcome)
{
    CallerFlow& flow = m_flows[index];
    if (flow.m_step == CallerFlow::Step::Finished || flow.m_key != packet.m_flow)
        return;
    m_result.m_hops += outcome.m_hops;
    if (outcome.m_kind == PacketActionKind::Refuse || outcome.m_kind == PacketActionKind::ResetCaller) {
        const bool wasOpening = flow.m_step == CallerFlow::Step::Opening;
        const bool deadBackend = flow.m_backend != Endpoint {} && m_backends.at(flow.m_backend).m_dead;
        std::uint64_t& broken = deadBackend ? m_result.m_brokenOnDeadBackend : m_result.m_brokenByReset;
        breakFlow(flow, wasOpening ? m_result.m_refused : broken, outcome, packet.m_kind);
        return;
    }
    if (outcome.m_kind != PacketActionKind::ToBackend) {
        ++m_result.m_drops[outcome.m_reason];
        return;
    }
    const auto found = m_backends.find(outcome.m_backend);
    CR_ASSERT(found != m_backends.end(), "a design forwards to declared backend servers only");
    Backend& backend = found->second;
    const bool isPartitioned = m_now < m_partitionEnds
        && (m_vms[outcome.m_lastVm].m_member.m_zone == m_partitionedZone) != (backend.m_zone == m_partitionedZone);
    if (backend.m_dead || isPartitioned)
        return;
    const bool isFirstService = flow.m_key.m_service == m_configuration.m_services[0].m_address;
    if (backend.m_service != m_settings.m_profile.m_services[isFirstService ? 0 : 1].m_name) {
        ++m_result.m_misrouted;
        breakFlow(flow, m_result.m_brokenByReset, outcome, packet.m_kind);
        return;
    }
    const bool isOpening = packet.m_kind == PacketKind::Opening
        || (packet.m_kind == PacketKind::Datagram && flow.m_step == CallerFlow::Step::Opening);
    if (isOpening) {
        backend.m_flows.insert(index);
        flow.m_openedBackends.insert(outcome.m_backend);
        if (flow.m_openedBackends.size() == 2)
            ++m_result.m_openedTwice;
        if (flow.m_step == CallerFlow::Step::Opening) {
            flow.m_step = CallerFlow::Step::Established;
            flow.m_backend = outcome.m_backend;
            ++m_result.m_flows;
        }
    } else if (outcome.m_backend != flow.m_backend) {
        breakFlow(flow, m_result.m_brokenByReset, outcome, packet.m_kind);
        return;
    }
    flow.m_lastProgressAt = m_now;
    flow.m_sequence += packet.m_payloadBytes;
    ++flow.m_deliveredPackets;
    const bool isDatagram = flow.m_key.m_protocol == Protocol::Udp;
    if (flow.m_step == CallerFlow::Step::Closing && !isDatagram) {
        flow.m_step = CallerFlow::Step::HalfClosed;
    } else if (flow.m_step == CallerFlow::Step::Closing || flow.m_step == CallerFlow::Step::HalfClosed) {
        for (const Endpoint opened : flow.m_openedBackends)
            m_backends.at(opened).m_flows.erase(index);
        flow.m_step = CallerFlow::Step::Finished;
        m_freeFlows.push_back(index);
    }
}

void FlowExperiment::breakFlow(CallerFlow& flow, std::uint64_t& counter, const FleetOutcome& outcome, PacketKind packet)
{
    constexpr std::size_t maxListed = 20;

    ++counter;
    const bool isBroken = &counter == &m_result.m_brokenByReset || &counter == &m_result.m_brokenByStall;
    if (isBroken) {
        ++m_result.m_steps[static_cast<std::size_t>(flow.m_stepAtFault)].m_broken;
        if (m_result.m_brokenFlows.size() < maxListed)
            m_result.m_brokenFlows.push_back(BrokenFlow { m_now, flow.m_openingTime, flow.m_key, packet,
                outcome.m_lastVm, outcome.m_hops, flow.m_backend, outcome.m_backend });
    }
    if (isBroken && m_lastFault != Instant {} && flow.m_openingTime + c_minEstablishedAge < m_lastFault)
        ++m_result.m_brokenEstablished;
    const std::size_t index = static_cast<std::size_t>(&flow - m_flows.data());
    for (const Endpoint opened : flow.m_openedBackends)
        m_backends.at(opened).m_flows.erase(index);
    flow.m_step = CallerFlow::Step::Finished;
    m_freeFlows.push_back(index);
}

bool FlowExperiment::reaches(VmIndex from, VmIndex to)
{
    const bool isPartitioned = m_now < m_partitionEnds
        && (m_vms[from].m_member.m_zone == m_partitionedZone) != (m_vms[to].m_member.m_zone == m_partitionedZone);
    if (isPartitioned || m_vms[to].m_dead)
        return false;
    if (m_now < m_answerLossEnds)
        return !m_random.chance(0.5);
    return m_now >= m_lossEnds || !m_random.chance(c_disturbanceRate);
}

bool FlowExperiment::isRunning(VmIndex vm) const
{
    return !m_vms[vm].m_dead && m_now >= m_vms[vm].m_pausedUntil;
}

VmIndex FlowExperiment::vmAt(Endpoint peerEndpoint) const
{
    return m_vmByAddress.at(peerEndpoint);
}

VmIndex FlowExperiment::randomRunningVm()
{
    VmIndex vm = m_random.below(m_vms.size());
    while (!isRunning(vm) || m_vms[vm].m_leaving)
        vm = m_random.below(m_vms.size());
    return vm;
}

void FlowExperiment::injectFault(const FaultEvent& fault)
{
    m_lastFault = m_now;
    recordFlowSteps();
    switch (fault.m_kind) {
    case FaultKind::KillVm:
        killVm(randomRunningVm());
        break;
    case FaultKind::PauseVm: {
        Vm& vm = m_vms[randomRunningVm()];
        vm.m_pausedUntil = m_now + c_pauseDuration;
        vm.m_unresponsiveSince = m_now;
        break;
    }
    case FaultKind::RestartVm: {
        const VmIndex vm = randomRunningVm();
        killVm(vm);
        m_vms[vm].m_startsAt = m_now + c_restartDuration;
        break;
    }
    case FaultKind::ReplaceVm: {
        const VmIndex vm = randomRunningVm();
        m_vms[vm].m_leaving = true;
        m_vms[vm].m_leavingSince = m_now;
        m_design->beginLeaving(vm);
        break;
    }
    case FaultKind::KillBackend:
    case FaultKind::DrainBackend:
    case FaultKind::AddBackend:
    case FaultKind::RemoveBackend:
        changeBackend(fault.m_kind);
        break;
    case FaultKind::PartitionZone:
        m_partitionedZone = m_settings.m_profile.m_zones[m_random.below(m_settings.m_profile.m_zones.size())];
        m_partitionEnds = m_now + c_partitionDuration;
        break;
    case FaultKind::LosePackets:
        m_lossEnds = m_now + c_disturbanceDuration;
        break;
    case FaultKind::DuplicatePackets:
        m_duplicationEnds = m_now + c_disturbanceDuration;
        break;
    case FaultKind::LoseAnswers:
        m_answerLossEnds = m_now + c_disturbanceDuration;
        break;
    case FaultKind::None:
    case FaultKind::Count:
        break;
    }
}

void FlowExperiment::recordFlowSteps()
{
    for (CallerFlow& flow : m_flows) {
        switch (flow.m_step) {
        case CallerFlow::Step::Opening:
            flow.m_stepAtFault = FlowStep::Opening;
            break;
        case CallerFlow::Step::Established:
            flow.m_stepAtFault = flow.m_deliveredPackets <= 2 ? FlowStep::FirstData : FlowStep::Established;
            break;
        case CallerFlow::Step::HalfClosed:
            flow.m_stepAtFault = FlowStep::HalfClosed;
            break;
        case CallerFlow::Step::Closing:
            flow.m_stepAtFault = FlowStep::Closing;
            break;
        case CallerFlow::Step::Finished:
            continue;
        }
        ++m_result.m_steps[static_cast<std::size_t>(flow.m_stepAtFault)].m_flows;
    }
}

void FlowExperiment::changeBackend(FaultKind kind)
{
    std::vector<Endpoint> serving;
    std::vector<Endpoint> standby;
    for (const BackendServer& server : m_configuration.m_backendServers) {
        if (m_backends.at(server.m_tunnel).m_dead || server.m_draining)
            continue;
        (server.m_labels.at("tier") == "serving" ? serving : standby).push_back(server.m_tunnel);
    }
    if (kind == FaultKind::AddBackend) {
        if (!standby.empty())
            publish(withLabel(m_configuration, standby[m_random.below(standby.size())], "serving"));
        return;
    }
    const Endpoint chosen = serving[m_random.below(serving.size())];
    if (kind == FaultKind::RemoveBackend) {
        publish(withLabel(m_configuration, chosen, "standby"));
    } else if (kind == FaultKind::DrainBackend) {
        Configuration drained = m_configuration;
        for (BackendServer& server : drained.m_backendServers)
            server.m_draining = server.m_draining || server.m_tunnel == chosen;
        publish(drained);
    } else {
        m_backends.at(chosen).m_dead = true;
        m_backends.at(chosen).m_diedAt = m_now;
    }
}

void FlowExperiment::publish(const Configuration& configuration)
{
    m_configuration = configuration;
    m_configuration.m_version.m_number = m_published.back().m_version.m_number + 1;
    m_published.push_back(m_configuration);
    for (Vm& vm : m_vms) {
        const Duration skew { static_cast<std::int64_t>(m_random.below(c_maxConfigurationSkew.count())) };
        vm.m_configurationDeliveries.push_back({ m_now + skew, m_published.size() - 1 });
    }
}

void FlowExperiment::killVm(VmIndex vm)
{
    m_vms[vm].m_dead = true;
    m_vms[vm].m_unresponsiveSince = m_now;
    m_design->stop(vm);
}

void FlowExperiment::startVm(VmIndex index)
{
    Vm& vm = m_vms[index];
    vm.m_dead = false;
    vm.m_leaving = false;
    vm.m_startsAt = {};
    vm.m_unresponsiveSince = {};
    vm.m_startedAt = m_now;
    vm.m_view = {};
    ++vm.m_member.m_incarnation;
    m_design->start(index, m_now);
    // The VM's control process fetches the peers' versions, oldest first.
    vm.m_configurationDeliveries.clear();
    for (const Configuration& configuration : m_published)
        m_design->installConfiguration(index, configuration, m_now);
}

void FlowExperiment::resumeVm(VmIndex index)
{
    Vm& vm = m_vms[index];
    vm.m_pausedUntil = {};
    vm.m_unresponsiveSince = {};
    const std::vector<Vm::QueuedPacket> queuedPackets = std::exchange(vm.m_socketQueue, {});
    for (const Vm::QueuedPacket& entry : queuedPackets)
        applyOutcome(entry.m_flow, entry.m_packet, m_design->route(index, entry.m_packet, m_now));
}

void FlowExperiment::stopDrainedVms()
{
    for (VmIndex index = 0; index < m_vms.size(); ++index) {
        Vm& vm = m_vms[index];
        if (vm.m_leaving && !vm.m_dead && m_design->drained(index) && m_now > vm.m_leavingSince + c_fabricLag) {
            killVm(index);
            vm.m_startsAt = m_now + c_restartDuration;
        }
    }
}

MemberView FlowExperiment::viewOf(VmIndex observer) const
{
    MemberView view;
    for (VmIndex index = 0; index < m_vms.size(); ++index) {
        const Vm& vm = m_vms[index];
        const Duration skew = m_vms[observer].m_viewSkews[index];
        Member member = vm.m_member;
        const bool isSelf = index == observer;
        const bool isPartitioned = m_now < m_partitionEnds && !isSelf
            && (vm.m_member.m_zone == m_partitionedZone) != (m_vms[observer].m_member.m_zone == m_partitionedZone);
        const Instant unresponsiveSince
            = isPartitioned ? m_partitionEnds - c_partitionDuration : vm.m_unresponsiveSince;
        if (unresponsiveSince != Instant {}) {
            if (m_now > unresponsiveSince + c_listLag && !isPartitioned && vm.m_dead)
                continue;
            if (m_now > unresponsiveSince + c_peerTimeout + skew)
                member.m_state = MemberState::Unreachable;
        }
        if (vm.m_leaving && !vm.m_dead && !isPartitioned && (isSelf || m_now > vm.m_leavingSince + skew))
            member.m_state = MemberState::Leaving;
        const bool isRestartUnseen = !isSelf && vm.m_member.m_incarnation > 1 && m_now < vm.m_startedAt + skew;
        if (isRestartUnseen) {
            member.m_state = MemberState::Unreachable;
            --member.m_incarnation;
        }
        view.m_members.push_back(member);
    }
    return view;
}

void FlowExperiment::refreshViews()
{
    for (VmIndex index = 0; index < m_vms.size(); ++index) {
        if (!isRunning(index))
            continue;
        MemberView view = viewOf(index);
        if (view.m_members == m_vms[index].m_view.m_members)
            continue;
        view.m_epoch = m_vms[index].m_view.m_epoch + 1;
        m_vms[index].m_view = view;
        m_design->installMembers(index, view, m_now);
    }
}

void FlowExperiment::reportBackends()
{
    for (VmIndex index = 0; index < m_vms.size(); ++index) {
        if (!isRunning(index))
            continue;
        std::vector<BackendReport> reports;
        for (const auto& [tunnel, backend] : m_backends) {
            const bool isPartitioned = m_now < m_partitionEnds
                && (backend.m_zone == m_partitionedZone) != (m_vms[index].m_member.m_zone == m_partitionedZone);
            BackendReport report;
            report.m_backend = tunnel;
            report.m_connections = static_cast<std::uint32_t>(backend.m_flows.size());
            report.m_measuredAt = m_now;
            if (isPartitioned)
                report.m_health = BackendHealth::Partitioned;
            else if (backend.m_dead && m_now > backend.m_diedAt + c_backendFailureDetectionTime)
                report.m_health = BackendHealth::Unhealthy;
            reports.push_back(report);
        }
        m_design->applyReports(index, reports);
    }
}

void FlowExperiment::tick()
{
    const Duration sinceStart = m_now - Instant { std::chrono::seconds { 1 } };
    for (VmIndex index = 0; index < m_vms.size(); ++index) {
        Vm& vm = m_vms[index];
        if (vm.m_dead && vm.m_startsAt != Deadline {} && m_now >= vm.m_startsAt)
            startVm(index);
        if (!vm.m_dead && vm.m_pausedUntil != Deadline {} && m_now >= vm.m_pausedUntil)
            resumeVm(index);
        if (!isRunning(index))
            continue;
        std::erase_if(vm.m_configurationDeliveries, [&](const Vm::ConfigurationDelivery& delivery) {
            if (m_now < delivery.m_at)
                return false;
            m_design->installConfiguration(index, m_published[delivery.m_version], m_now);
            return true;
        });
    }
    if (sinceStart % c_viewInterval == Duration {})
        refreshViews();
    if (sinceStart % c_reportInterval == Duration {})
        reportBackends();
    for (VmIndex index = 0; index < m_vms.size(); ++index) {
        if (isRunning(index))
            m_design->tick(index, m_now);
    }
    stopDrainedVms();
}

double FlowExperiment::imbalance() const
{
    double worst = 0;
    for (const FleetProfile::ServiceSize& service : m_settings.m_profile.m_services) {
        double most = 0;
        double sum = 0;
        std::size_t count = 0;
        for (const BackendServer& server : m_configuration.m_backendServers) {
            const Backend& backend = m_backends.at(server.m_tunnel);
            const bool serves = server.m_labels.at("tier") == "serving" && !server.m_draining && !backend.m_dead;
            if (backend.m_service != service.m_name || !serves)
                continue;
            const double open = static_cast<double>(backend.m_flows.size());
            most = std::max(most, open);
            sum += open;
            ++count;
        }
        if (sum > 0)
            worst = std::max(worst, most * static_cast<double>(count) / sum);
    }
    return worst;
}

} // namespace cuminrelay
