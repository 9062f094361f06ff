#include "flows/FlowRouter.h"

#include "base/Assert.h"

#include <algorithm>
#include <array>
#include <limits>

namespace cuminrelay {

namespace {

    constexpr std::uint8_t c_maximumHops = 4;
    constexpr std::uint32_t c_stragglerBytes = 256 * 1024;

    constexpr Duration c_openingIdle = std::chrono::seconds { 15 };
    constexpr Duration c_establishedIdle = std::chrono::hours { 24 };
    constexpr Duration c_resetIdle = std::chrono::seconds { 2 };
    constexpr Duration c_datagramIdle = std::chrono::seconds { 60 };

    /// A half-closed flow may be idle until the backend server responds; one on its default can be recomputed.
    constexpr Duration c_halfClosedOverrideIdle = std::chrono::minutes { 2 };
    constexpr Duration c_halfClosedDefaultIdle = std::chrono::seconds { 10 };

    /// Interval at which a datagram of an override goes through the replica, whose state expires like the owner's.
    constexpr Duration c_datagramRefresh = std::chrono::seconds { 20 };

    /// Longest time between the two sides' detection of a network partition. Within it both would open the same flows.
    constexpr Duration c_partitionDetectionDelay = std::chrono::seconds { 1 };

    /// How long an interim owner drops the opening packets of a flow; callers retransmit again after that.
    constexpr Duration c_openingDelay = std::chrono::milliseconds { 1500 };

    /// How long an owner that took over during a partition drops mid-stream packets of unknown flows; shorter than the
    /// time-outs of callers.
    constexpr Duration c_partitionUnknownDropTime = std::chrono::seconds { 10 };

    /// Retransmission without progress, for this time and this often, counts as a lost connection.
    constexpr Duration c_stallTimeout = std::chrono::seconds { 20 };
    constexpr std::uint8_t c_stallRetransmissions = 6;

    /// Whether TCP sequence number left comes after right, modulo 2^32.
    bool isAfter(std::uint32_t left, std::uint32_t right)
    {
        return static_cast<std::int32_t>(left - right) > 0;
    }

    /// Time after which an idle flow expires. Short times are safe: a caller that reconnects is placed again, and a
    /// flow on its default can be recomputed.
    Duration idleOf(const FlowState& state)
    {
        if (state.m_protocol == Protocol::Udp)
            return c_datagramIdle;
        switch (state.m_stage) {
        case FlowStage::Opening:
            return c_openingIdle;
        case FlowStage::Established:
            return c_establishedIdle;
        case FlowStage::HalfClosed:
            return state.m_isOverride ? c_halfClosedOverrideIdle : c_halfClosedDefaultIdle;
        case FlowStage::Reset:
            break;
        }
        return c_resetIdle;
    }

    FlowStage stageOf(PacketKind kind)
    {
        switch (kind) {
        case PacketKind::Opening:
            return FlowStage::Opening;
        case PacketKind::HalfClose:
            return FlowStage::HalfClosed;
        case PacketKind::Reset:
            return FlowStage::Reset;
        case PacketKind::Midstream:
        case PacketKind::Datagram:
            break;
        }
        return FlowStage::Established;
    }

    Reason reasonOf(Admission admission)
    {
        return admission == Admission::QueueFull ? Reason::AdmissionQueueFull : Reason::AdmissionShare;
    }

    PacketAction drop(Reason reason)
    {
        return PacketAction { PacketActionKind::Drop, reason, {}, {} };
    }
    PacketAction refuse(Reason reason)
    {
        return PacketAction { PacketActionKind::Refuse, reason, {}, {} };
    }
    PacketAction toBackend(Endpoint backend)
    {
        return PacketAction { PacketActionKind::ToBackend, Reason::None, backend, backend };
    }

    PacketAction forwardToOwner(Endpoint owner)
    {
        return PacketAction { PacketActionKind::ForwardToOwner, Reason::None, owner, {} };
    }

} // namespace

FlowRouter::FlowRouter(Endpoint self, PlacementPolicy& placement, AdmissionPolicy& admission, Limits limits)
    : m_self(self)
    , m_placement(placement)
    , m_admission(admission)
    , m_limits(limits)
    , m_buckets(c_bucketCount)
{
}

void FlowRouter::decide(std::span<const PacketSummary> packets, std::span<PacketAction> actions, Instant now)
{
    CR_ASSERT(packets.size() == actions.size(), "each packet must have one action");
    detectPause(now);
    if (now < m_staleUntil) {
        // The successors have decided on retransmissions of these packets; flows may have ended or been refused.
        std::fill(actions.begin(), actions.end(), drop(Reason::StaleAfterPause));
        return;
    }
    for (std::size_t begin = 0; begin < packets.size(); begin += FlowTable::s_batch) {
        const std::size_t size = std::min(FlowTable::s_batch, packets.size() - begin);
        decideChunk(packets.subspan(begin, size), actions.subspan(begin, size), now);
    }
}

void FlowRouter::decideChunk(std::span<const PacketSummary> packets, std::span<PacketAction> actions, Instant now)
{
    std::array<FlowHash, FlowTable::s_batch> hashes;
    std::array<FlowState*, FlowTable::s_batch> found;
    const std::uint64_t generation = m_flows.generation();
    for (std::size_t i = 0; i < packets.size(); ++i) {
        hashes[i] = hashFlow(packets[i].m_flow);
        __builtin_prefetch(&m_buckets[bucketOf(hashes[i])]);
    }
    m_flows.find(std::span { hashes }.first(packets.size()), std::span { found }.first(packets.size()));
    for (std::size_t i = 0; i < packets.size(); ++i)
        actions[i] = decideOne(Context { packets[i], hashes[i], bucketOf(hashes[i]), now, found[i], generation });
}

FlowState* FlowRouter::lookUp(const Context& context)
{
    return context.m_generation == m_flows.generation() ? context.m_found : m_flows.find(context.m_hash);
}

PacketAction FlowRouter::decideOne(const Context& context)
{
    const PacketSummary& packet = context.m_packet;
    if (packet.m_arrival == Arrival::Record)
        return acceptRecord(context);
    if (packet.m_arrival == Arrival::ForwardToPreviousOwner)
        return decideAsOwner(context, packet.m_peer, false);

    const Endpoint deciding = decider(context.m_bucket, context.m_now);
    if (deciding == m_self)
        return decideAsOwner(context, successor(context.m_bucket), true);
    if (deciding == Endpoint {})
        return drop(Reason::OwnerPartitioned);
    if (packet.m_hops < c_maximumHops)
        return forwardToOwner(deciding);

    // Views disagree and the packet has looped. A VM that holds the flow's state can still forward it.
    FlowState* const state = lookUp(context);
    return state ? toBackend(state->m_backend) : drop(Reason::HopLimit);
}

PacketAction FlowRouter::decideAsOwner(const Context& context, Endpoint replica, bool mayForwardToPrevious)
{
    const BucketState& bucket = m_buckets[context.m_bucket];
    const bool isSyncing
        = mayForwardToPrevious && bucket.m_syncSource != Endpoint {} && context.m_packet.m_hops < c_maximumHops;
    FlowState* const state = lookUp(context);
    if (state && !(isSyncing && state->m_stage == FlowStage::Opening) && !mustReopen(context, *state))
        return decideTracked(context, *state, replica);
    if (!state && mayBeOpenInPartitionedZone(context))
        return drop(Reason::OwnerPartitioned);
    if (isSyncing)
        return PacketAction { PacketActionKind::ForwardToPreviousOwner, Reason::None, bucket.m_syncSource, {} };
    const bool replacesReplica = state && state->m_isOverride && state->m_replica != Endpoint {};
    if (state)
        endFlow(context.m_hash, *state, context.m_now);

    switch (context.m_packet.m_kind) {
    case PacketKind::Opening:
    case PacketKind::Datagram:
        return openFlow(context, replica, replacesReplica);
    case PacketKind::Midstream:
    case PacketKind::HalfClose:
        return decideMidstream(context, replica);
    case PacketKind::Reset:
        break;
    }
    return forwardUntracked(context);
}

bool FlowRouter::mayBeOpenInPartitionedZone(const Context& context)
{
    const BucketState& bucket = m_buckets[context.m_bucket];
    if (!bucket.m_isInterimOwner)
        return false;
    if (context.m_packet.m_kind == PacketKind::Datagram)
        return context.m_now < bucket.m_acquiredAt + c_datagramIdle;
    if (context.m_now < bucket.m_acquiredAt + c_partitionDetectionDelay)
        return true;
    if (context.m_packet.m_kind != PacketKind::Opening)
        return false;
    // Another copy of the packet may have opened the flow at the owner. A caller without a response retransmits it.
    if (m_delayedOpenings.size() >= m_limits.m_flows)
        m_delayedOpenings.clear();
    const Deadline opensAt
        = m_delayedOpenings.try_emplace(context.m_hash.m_value, context.m_now + c_openingDelay).first->second;
    return context.m_now < opensAt;
}

bool FlowRouter::mustReopen(const Context& context, const FlowState& state) const
{
    if (context.m_packet.m_kind != PacketKind::Opening)
        return false;
    // The caller reuses the port, or its opening packet went to a backend server that has failed since.
    if (state.m_stage == FlowStage::HalfClosed || state.m_stage == FlowStage::Reset)
        return true;
    const BackendStatus* const status = m_backendStatuses.find(state.m_backend);
    return state.m_stage == FlowStage::Opening && status && status->m_report.m_health == BackendHealth::Unhealthy;
}

PacketAction FlowRouter::decideTracked(const Context& context, FlowState& state, Endpoint replica)
{
    if (state.m_service == Endpoint {}) {
        state.m_service = context.m_packet.m_flow.m_service;
        state.m_protocol = context.m_packet.m_flow.m_protocol;
    }
    recordProgress(context, state);
    if (isStalled(context, state)) {
        state.m_stage = FlowStage::Reset;
        state.m_stallOrRefreshAt = {};
        state.m_expires = context.m_now + c_resetIdle;
        return PacketAction { PacketActionKind::ResetCaller, Reason::StalledConnection, {}, state.m_backend };
    }
    return forward(context, state, replica);
}

PacketAction FlowRouter::decideMidstream(const Context& context, Endpoint replica)
{
    const BucketState& bucket = m_buckets[context.m_bucket];
    // During a partition the flow may have been opened on the other side. An owner that took over during it also lacks
    // the states of flows on their default, and must not drop their packets for ever.
    const bool isDropTimeOver
        = bucket.m_acquiredAt >= m_partitionSince && context.m_now >= bucket.m_acquiredAt + c_partitionUnknownDropTime;
    if (bucket.m_isInterimOwner || (m_partitionSince != Instant {} && !isDropTimeOver))
        return drop(Reason::UnknownFlowDuringPartition);
    const bool isForwarded = context.m_packet.m_arrival == Arrival::ForwardToPreviousOwner;
    const bool mayMissFlows
        = isForwarded && !owns(context.m_bucket) && bucket.m_replicatedOwner != context.m_packet.m_peer;
    if (mayMissFlows || bucket.m_syncSource != Endpoint {} || context.m_now < bucket.m_dropUnknownUntil)
        return drop(Reason::UnknownFlowHolderUnreachable);
    const Endpoint backend = m_history.defaultSince(bucket.m_base, context.m_packet.m_flow, context.m_hash);
    if (backend == Endpoint {})
        return drop(Reason::UnknownService);
    if (m_flows.size() >= m_limits.m_flows)
        return toBackend(backend);
    FlowState& state = track(context, backend, stageOf(context.m_packet.m_kind), false);
    if (state.m_isOverride && replica != Endpoint {})
        m_outboxes[replica].m_flows.push_back(context.m_hash);
    return forward(context, state, replica);
}

PacketAction FlowRouter::openFlow(const Context& context, Endpoint replica, bool replacesReplica)
{
    const PacketSummary& packet = context.m_packet;
    const std::shared_ptr<const ServiceTables>& tables = m_history.current();
    const ServiceTable* const service
        = tables ? tables->find(packet.m_flow.m_service, packet.m_flow.m_protocol) : nullptr;
    if (!service)
        return drop(Reason::UnknownService);
    if (service->empty())
        return refuse(Reason::NoBackendServer);

    const BucketState& bucket = m_buckets[context.m_bucket];
    const bool isDatagram = packet.m_kind == PacketKind::Datagram;

    // A datagram, or an opening packet soon after a takeover, may belong to a flow that the previous owner placed.
    const bool mayBeRetransmission = context.m_now < bucket.m_retransmissionsUntil;
    Endpoint preferred = service->defaultBackend(context.m_hash, tables->homeZone(context.m_bucket));
    if (mayBeRetransmission || isDatagram) {
        const Endpoint baseDefault = m_history.defaultSince(bucket.m_base, packet.m_flow, context.m_hash);
        const bool continues = isDatagram && mayContinueAt(baseDefault, context.m_bucket, context.m_now);
        if (continues || std::binary_search(service->tunnels().begin(), service->tunnels().end(), baseDefault))
            preferred = baseDefault;
    }
    if (isDatagram && context.m_now < bucket.m_acquiredAt + c_datagramIdle && isBackendPartitioned(preferred))
        return drop(Reason::BackendPartitioned);
    const bool preferredIsUsable
        = isUsable(preferred) || (isDatagram && mayContinueAt(preferred, context.m_bucket, context.m_now));
    if (!mayBeRetransmission || !preferredIsUsable) {
        const Admission admission
            = m_admission.admit(service->tunnels(), m_backendStatuses, m_ownerCount, context.m_now);
        if (admission != Admission::Admitted)
            return refuse(reasonOf(admission));
    }
    Endpoint chosen = preferred;
    if (!preferredIsUsable || !(mayBeRetransmission || isDatagram)) {
        const PlacementRequest request { service->tunnels(), preferred, context.m_hash.m_value };
        const std::optional<Endpoint> placed = m_placement.choose(request, m_backendStatuses, context.m_now);
        if (!placed)
            return refuse(Reason::NoBackendServer);
        chosen = *placed;
    }
    if (m_flows.size() >= m_limits.m_flows) {
        // Without room for a state, only flows that can be recomputed may open.
        const bool computable = m_history.isDefaultSince(bucket.m_base, packet.m_flow, context.m_hash, chosen);
        return computable ? toBackend(chosen) : refuse(Reason::FlowTableFull);
    }
    FlowState& state = track(context, chosen, stageOf(packet.m_kind), true);
    // The replica still holds the previous backend server and must receive the new one, even if that is the default. So
    // must an owner that was partitioned: its base version may differ.
    const bool openedForOwner = packet.m_arrival == Arrival::ForwardToPreviousOwner && bucket.m_isInterimOwner;
    if (replacesReplica || openedForOwner)
        setOverride(state, true);
    return forward(context, state, replica);
}

PacketAction FlowRouter::acceptRecord(const Context& context)
{
    const PacketSummary& packet = context.m_packet;
    FlowState* const existing = lookUp(context);
    const BucketState& bucket = m_buckets[context.m_bucket];
    const bool decidesHere = decider(context.m_bucket, context.m_now) == m_self && bucket.m_syncSource == Endpoint {};
    // The sender was paused and still has a view in which it is the owner. The choice of this VM takes precedence.
    if (existing && decidesHere && existing->m_backend != packet.m_recordedBackend)
        return toBackend(existing->m_backend);

    FlowState& state = existing ? *existing : m_flows.put(context.m_hash, FlowState {});
    state.m_backend = packet.m_recordedBackend;
    state.m_service = packet.m_flow.m_service;
    state.m_protocol = packet.m_flow.m_protocol;
    state.m_replica = packet.m_peer;
    state.m_relays = s_relaysPerReplica;
    setOverride(state, true);
    recordProgress(context, state);
    return toBackend(packet.m_recordedBackend);
}

PacketAction FlowRouter::forward(const Context& context, FlowState& state, Endpoint replica)
{
    if (!state.m_isOverride || replica == Endpoint {} || replica == m_self)
        return toBackend(state.m_backend);
    if (state.m_replica != replica) {
        state.m_replica = replica;
        state.m_relays = 0;
    }
    // Every packet that changes the stage goes through the replica, whose state then expires with the flow. Of the
    // other packets only the first s_relaysPerReplica do.
    const PacketKind kind = context.m_packet.m_kind;
    const bool refreshes = kind == PacketKind::Datagram && context.m_now >= state.m_stallOrRefreshAt;
    const bool repeats = kind == PacketKind::Midstream || (kind == PacketKind::Datagram && !refreshes);
    if (repeats && state.m_relays >= s_relaysPerReplica)
        return toBackend(state.m_backend);
    if (repeats)
        ++state.m_relays;
    if (refreshes)
        state.m_stallOrRefreshAt = context.m_now + c_datagramRefresh;
    return PacketAction { PacketActionKind::RecordThenForward, Reason::None, replica, state.m_backend };
}

PacketAction FlowRouter::forwardUntracked(const Context& context) const
{
    const Endpoint backend
        = m_history.defaultSince(m_buckets[context.m_bucket].m_base, context.m_packet.m_flow, context.m_hash);
    return backend == Endpoint {} ? drop(Reason::UnknownService) : toBackend(backend);
}

FlowState& FlowRouter::track(const Context& context, Endpoint backend, FlowStage stage, bool isNew)
{
    const FlowKey& key = context.m_packet.m_flow;
    FlowState state;
    state.m_backend = backend;
    state.m_service = key.m_service;
    state.m_protocol = key.m_protocol;
    state.m_stage = stage;
    state.m_sequence = context.m_packet.m_sequence;
    state.m_acknowledgment = context.m_packet.m_acknowledgment;
    state.m_receivedBytes = context.m_packet.m_payloadBytes;
    // The backend server's report already includes flows that a previous owner placed.
    state.m_isCounted = isNew;
    if (isNew)
        m_backendStatuses.recordOpened(backend, context.m_now);
    FlowState& stored = m_flows.put(context.m_hash, state);
    setOverride(stored, !m_history.isDefaultSince(m_buckets[context.m_bucket].m_base, key, context.m_hash, backend));
    stored.m_expires = context.m_now + idleOf(stored);
    return stored;
}

void FlowRouter::recordProgress(const Context& context, FlowState& state)
{
    const PacketSummary& packet = context.m_packet;
    const FlowStage stage = stageOf(packet.m_kind);
    if (state.m_stage == FlowStage::Opening && stage > state.m_stage)
        m_backendStatuses.recordAnsweredOpening(state.m_backend);
    state.m_stage = std::max(state.m_stage, stage);
    state.m_expires = context.m_now + idleOf(state);

    const bool acknowledgesMore = isAfter(packet.m_acknowledgment, state.m_acknowledgment);
    if (acknowledgesMore)
        state.m_acknowledgment = packet.m_acknowledgment;
    const bool isNewPayload
        = packet.m_payloadBytes > 0 && (isAfter(packet.m_sequence, state.m_sequence) || state.m_receivedBytes == 0);
    if (packet.m_payloadBytes > 0) {
        if (isNewPayload)
            state.m_sequence = packet.m_sequence;
        const std::uint32_t room = std::numeric_limits<std::uint32_t>::max() - state.m_receivedBytes;
        state.m_receivedBytes += std::min<std::uint32_t>(room, packet.m_payloadBytes);
    }
    if (packet.m_kind != PacketKind::Datagram)
        updateStallTimer(context, state, isNewPayload || acknowledgesMore);

    if (!state.m_isCounted)
        return;
    if (!state.m_isStraggler && state.m_receivedBytes >= c_stragglerBytes) {
        state.m_isStraggler = true;
        m_backendStatuses.recordStraggler(state.m_backend);
    }
    if (state.m_stage == FlowStage::Reset) {
        state.m_isCounted = false;
        m_backendStatuses.recordClosed(state.m_backend, state.m_isStraggler, context.m_now);
    }
}

void FlowRouter::updateStallTimer(const Context& context, FlowState& state, bool progress) const
{
    // During a partition a flow may stall although its connection is intact.
    if (progress || m_partitionSince != Instant {}) {
        state.m_stallOrRefreshAt = {};
        state.m_retransmissions = 0;
        return;
    }
    if (context.m_packet.m_payloadBytes == 0)
        return;
    if (state.m_stallOrRefreshAt == Deadline {})
        state.m_stallOrRefreshAt = context.m_now + c_stallTimeout;
    if (state.m_retransmissions < c_stallRetransmissions)
        ++state.m_retransmissions;
}

bool FlowRouter::isStalled(const Context& context, const FlowState& state) const
{
    return state.m_retransmissions >= c_stallRetransmissions && context.m_now >= state.m_stallOrRefreshAt
        && context.m_packet.m_kind == PacketKind::Midstream;
}

void FlowRouter::setOverride(FlowState& state, bool isOverride)
{
    if (state.m_isOverride == isOverride)
        return;
    state.m_isOverride = isOverride;
    m_overrides += isOverride ? 1 : std::size_t(-1);
}

void FlowRouter::endFlow(FlowHash hash, FlowState& state, Instant now)
{
    releaseFlow(hash, state, now);
    m_flows.erase(hash);
}

void FlowRouter::releaseFlow(FlowHash hash, FlowState& state, Instant now)
{
    if (state.m_isCounted)
        m_backendStatuses.recordClosed(state.m_backend, state.m_isStraggler, now);
    // The replica's state expires by itself. For an established TCP flow that takes c_establishedIdle: send a record.
    const bool replicaHoldsIt = state.m_isOverride && state.m_replica != Endpoint {}
        && state.m_stage == FlowStage::Established && state.m_protocol == Protocol::Tcp && owns(bucketOf(hash));
    if (replicaHoldsIt)
        m_outboxes[state.m_replica].m_flows.push_back(hash);
    setOverride(state, false);
}

void FlowRouter::expireShard(std::size_t index, Instant now)
{
    m_flows.eraseIf(index, [&](FlowHash hash, FlowState& state) {
        if (now < state.m_expires)
            return false;
        releaseFlow(hash, state, now);
        return true;
    });
}

bool FlowRouter::isUsable(Endpoint backend) const
{
    const BackendStatus* const status = m_backendStatuses.find(backend);
    return status && status->m_report.m_health == BackendHealth::Healthy && !status->m_draining;
}

bool FlowRouter::isBackendPartitioned(Endpoint backend) const
{
    const BackendStatus* const status = m_backendStatuses.find(backend);
    return status && status->m_report.m_health == BackendHealth::Partitioned;
}

bool FlowRouter::isOnLeavingBackend(const FlowState& state) const
{
    if (state.m_protocol != Protocol::Udp)
        return false;
    const Endpoint backend = state.m_backend;
    const BackendStatus* const status = m_backendStatuses.find(backend);
    const ServiceTable* const service
        = m_history.current() ? m_history.current()->find(state.m_service, state.m_protocol) : nullptr;
    const bool acceptsNewFlows
        = status && !status->m_draining && service && std::ranges::binary_search(service->tunnels(), backend);
    return !acceptsNewFlows;
}

bool FlowRouter::mayContinueAt(Endpoint backend, Bucket bucket, Instant now) const
{
    const auto leaving = m_leavingBackends.find(backend);
    const BackendStatus* const status = m_backendStatuses.find(backend);
    return leaving != m_leavingBackends.end() && now < leaving->second && status
        && status->m_report.m_health == BackendHealth::Healthy && now < m_buckets[bucket].m_acquiredAt + c_datagramIdle;
}

Endpoint FlowRouter::decider(Bucket bucket, Instant now) const
{
    const BucketState& state = m_buckets[bucket];
    return state.m_handedOverTo != Endpoint {} && now < state.m_handoverExpires ? state.m_handedOverTo : owner(bucket);
}

Endpoint FlowRouter::owner(Bucket bucket) const
{
    const MemberIndex index = m_owners.owners(bucket).m_owner;
    return index == c_noMember ? Endpoint {} : m_owners.member(index);
}

Endpoint FlowRouter::successor(Bucket bucket) const
{
    const MemberIndex index = m_owners.owners(bucket).m_successor;
    return index == c_noMember ? Endpoint {} : m_owners.member(index);
}

std::size_t FlowRouter::ownedBucketCount() const
{
    std::size_t count = 0;
    for (std::size_t bucket = 0; bucket < c_bucketCount; ++bucket) {
        if (owns(static_cast<Bucket>(bucket)))
            ++count;
    }
    return count;
}

} // namespace cuminrelay
