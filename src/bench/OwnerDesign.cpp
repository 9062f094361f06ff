#include "bench/OwnerDesign.h"

namespace cuminrelay {

namespace {

    constexpr std::size_t c_recordsPerBatch = 256;
    constexpr unsigned c_maxHops = 12;

    /// Size of a batch on the wire: a call with its answer, two words per record and two bytes per bucket.
    constexpr std::uint64_t c_callBytes = 160;
    constexpr std::uint64_t c_recordBytes = 16;

    std::uint64_t batchBytes(const ReplicaBatch& batch)
    {
        const std::size_t buckets = batch.m_synchronized.size() + batch.m_handedOver.size() + batch.m_requested.size();
        return c_callBytes + batch.m_records.size() * c_recordBytes + buckets * sizeof(Bucket);
    }

    Arrival arrivalFor(PacketActionKind kind)
    {
        switch (kind) {
        case PacketActionKind::ForwardToPreviousOwner:
            return Arrival::ForwardToPreviousOwner;
        case PacketActionKind::RecordThenForward:
            return Arrival::Record;
        default:
            return Arrival::ForwardToOwner;
        }
    }

} // namespace

OwnerDesign::OwnerDesign(std::string name, std::span<const Endpoint> addresses, FleetNetwork& network,
    PolicyFactory policies, Replication replication)
    : m_name(std::move(name))
    , m_network(network)
    , m_policies(std::move(policies))
    , m_replication(replication)
{
    for (const Endpoint address : addresses) {
        Vm vm;
        vm.m_address = address;
        m_vms.push_back(std::move(vm));
    }
}

void OwnerDesign::start(VmIndex vm, Instant)
{
    Vm& started = m_vms[vm];
    started.m_router.reset();
    started.m_placement = m_policies.m_placement();
    started.m_admission = m_policies.m_admission();
    started.m_router = std::make_unique<FlowRouter>(
        started.m_address, *started.m_placement, *started.m_admission, FlowRouter::Limits {});
    started.m_view = {};
}

void OwnerDesign::stop(VmIndex vm)
{
    m_vms[vm].m_router.reset();
    m_vms[vm].m_view = {};
}

void OwnerDesign::beginLeaving(VmIndex vm)
{
    m_vms[vm].m_router->beginLeaving();
}

bool OwnerDesign::drained(VmIndex vm) const
{
    return m_vms[vm].m_router->drained();
}

void OwnerDesign::installConfiguration(VmIndex vm, const Configuration& configuration, Instant now)
{
    FlowRouter& router = *m_vms[vm].m_router;
    if (configuration.m_version <= router.configVersion())
        return;
    if (!m_newestTables || m_newestTables->version() != configuration.m_version)
        m_newestTables = std::make_shared<const ServiceTables>(configuration, m_newestTables.get());
    router.installTables(m_newestTables, configuration.m_backendServers, now);
}

void OwnerDesign::installMembers(VmIndex vm, const MemberView& view, Instant now)
{
    m_vms[vm].m_view = view;
    m_vms[vm].m_router->installMembers(view, now);
}

void OwnerDesign::applyReports(VmIndex vm, std::span<const BackendReport> reports)
{
    m_vms[vm].m_router->applyReports(reports);
}

FleetOutcome OwnerDesign::route(VmIndex vm, const PacketSummary& packet, Instant now)
{
    PacketSummary current = packet;
    FleetOutcome outcome;
    outcome.m_lastVm = vm;
    for (unsigned step = 0; step < c_maxHops; ++step) {
        PacketAction action;
        m_vms[outcome.m_lastVm].m_router->decide({ &current, 1 }, { &action, 1 }, now);
        outcome.m_kind = action.m_kind;
        outcome.m_reason = action.m_reason;
        outcome.m_backend = action.m_backend;
        if (action.m_kind == PacketActionKind::RecordThenForward && m_replication == Replication::None)
            outcome.m_kind = action.m_kind = PacketActionKind::ToBackend;
        const bool toPeer = action.m_kind == PacketActionKind::ForwardToOwner
            || action.m_kind == PacketActionKind::ForwardToPreviousOwner
            || action.m_kind == PacketActionKind::RecordThenForward;
        if (!toPeer)
            return outcome;
        if (action.m_kind == PacketActionKind::RecordThenForward)
            ++m_relayedPackets;
        const VmIndex next = m_network.vmAt(action.m_target);
        if (!m_network.isRunning(next) || !m_network.reaches(outcome.m_lastVm, next)) {
            outcome.m_kind = PacketActionKind::Drop;
            return outcome;
        }
        current.m_arrival = arrivalFor(action.m_kind);
        current.m_peer = m_vms[outcome.m_lastVm].m_address;
        current.m_recordedBackend = action.m_backend;
        current.m_hops = static_cast<std::uint8_t>(current.m_hops + 1);
        outcome.m_lastVm = next;
        ++outcome.m_hops;
    }
    outcome.m_kind = PacketActionKind::Drop;
    outcome.m_reason = Reason::HopLimit;
    return outcome;
}

void OwnerDesign::tick(VmIndex vm, Instant now)
{
    m_vms[vm].m_router->tick(now);
    for (const Member& member : m_vms[vm].m_view.m_members) {
        const VmIndex peer = m_network.vmAt(member.m_peers);
        if (peer != vm && m_network.isRunning(peer))
            sendBatch(vm, peer, now);
    }
}

void OwnerDesign::sendBatch(VmIndex from, VmIndex to, Instant now)
{
    ReplicaBatch batch = m_vms[from].m_router->nextBatch(m_vms[to].m_address, c_recordsPerBatch, now);
    if (batch.empty())
        return;
    if (m_replication == Replication::None)
        batch.m_records.clear();
    m_controlBytes += batchBytes(batch);
    // If the call or its answer is lost, the sender includes the same content again.
    if (!m_network.reaches(from, to))
        return;
    const bool accepted = m_vms[to].m_router->acceptBatch(m_vms[from].m_address, batch, now);
    if (accepted && m_network.reaches(to, from))
        m_vms[from].m_router->confirmBatch(m_vms[to].m_address, batch, now);
}

std::size_t OwnerDesign::heldFlows() const
{
    std::size_t sum = 0;
    for (const Vm& vm : m_vms)
        sum += vm.m_router ? vm.m_router->flowCount() : 0;
    return sum;
}

} // namespace cuminrelay
