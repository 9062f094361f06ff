// FlowRouter off the packet path: configurations, and replication between entry VMs.

#include "flows/FlowRouter.h"

#include <algorithm>
#include <iterator>

namespace cuminrelay {

namespace {

    /// How long a member decides for a bucket handed over to it while the view does not show it as the owner.
    constexpr Duration c_handoverGrace = std::chrono::seconds { 5 };

    /// How long a backend server that stops accepting new flows may still get datagrams of untracked flows.
    constexpr Duration c_leavingGrace = std::chrono::seconds { 3 };

    /// Shards that one tick walks to replicate overrides to a new successor: all of them in 8 ticks.
    constexpr unsigned c_shardsPerTick = FlowTable::s_shardCount / 8;

    constexpr Duration c_requestInterval = std::chrono::seconds { 1 };

    /// Number of stored configuration versions above which base versions advance early.
    constexpr std::size_t c_maximumVersions = 64;

    /// Copies the pending buckets with the same base version as the first one into a batch.
    void copyGroup(const std::map<Bucket, ConfigVersion>& pending, std::vector<Bucket>& buckets, ConfigVersion& base)
    {
        for (const auto& [bucket, version] : pending) {
            if (buckets.empty())
                base = version;
            if (version == base)
                buckets.push_back(bucket);
        }
    }

    /// Removes the pending buckets that a batch delivered, unless their base version has changed since.
    void eraseDelivered(std::map<Bucket, ConfigVersion>& pending, std::span<const Bucket> buckets, ConfigVersion base)
    {
        for (const Bucket bucket : buckets) {
            const auto found = pending.find(bucket);
            if (found != pending.end() && found->second == base)
                pending.erase(found);
        }
    }

} // namespace

bool FlowRouter::installConfiguration(const Configuration& configuration, Instant now)
{
    if (configuration.m_version <= configVersion())
        return false;
    return installTables(
        std::make_shared<const ServiceTables>(configuration, tables().get()), configuration.m_backendServers, now);
}

bool FlowRouter::installTables(
    std::shared_ptr<const ServiceTables> tables, std::span<const BackendServer> backendServers, Instant now)
{
    const std::shared_ptr<const ServiceTables> before = m_history.current();
    if (!m_history.append(std::move(tables)))
        return false;
    recordLeavingBackends(before.get(), backendServers, now);
    std::vector<Endpoint> declared;
    declared.reserve(backendServers.size());
    for (const BackendServer& server : backendServers) {
        m_backendStatuses.declare(server.m_tunnel, server.m_slots, server.m_connectionLimit, server.m_draining, now);
        declared.push_back(server.m_tunnel);
    }
    m_backendStatuses.retainOnly(declared);

    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        BucketState& state = m_buckets[bucket];
        if (!owns(bucket))
            continue;
        if (state.m_base == ConfigVersion {} && state.m_syncSource == Endpoint {})
            state.m_base = configVersion();
        // UDP flows whose backend server no longer accepts new flows become overrides.
        requestSynchronization(bucket);
    }
    return true;
}

void FlowRouter::recordLeavingBackends(
    const ServiceTables* before, std::span<const BackendServer> backendServers, Instant now)
{
    std::erase_if(
        m_leavingBackends, [now](const std::pair<const Endpoint, Deadline>& leaving) { return now >= leaving.second; });
    for (const BackendServer& server : backendServers) {
        const BackendStatus* const status = m_backendStatuses.find(server.m_tunnel);
        if (server.m_draining && status && !status->m_draining)
            m_leavingBackends[server.m_tunnel] = now + c_leavingGrace;
    }
    if (!before)
        return;
    for (const std::shared_ptr<const ServiceTable>& service : before->services()) {
        const ServiceTable* const after = m_history.current()->find(service->address(), service->protocol());
        if (!after || after == service.get())
            continue;
        std::vector<Endpoint> gone;
        std::ranges::set_difference(service->tunnels(), after->tunnels(), std::back_inserter(gone));
        for (const Endpoint backend : gone)
            m_leavingBackends[backend] = now + c_leavingGrace;
    }
}

void FlowRouter::applyReports(std::span<const BackendReport> reports)
{
    for (const BackendReport& report : reports)
        m_backendStatuses.apply(report);
}

void FlowRouter::tick(Instant now)
{
    detectPause(now);
    if (m_partitionOverAt != Deadline {} && now >= m_partitionOverAt) {
        m_partitionSince = m_partitionOverAt = {};
        m_partitionedMembers.clear();
        m_delayedOpenings.clear();
        m_interimOwners = OwnerMap {};
    }
    expireShard(m_expireShard, now);
    m_expireShard = (m_expireShard + 1) % FlowTable::s_shardCount;
    if (m_expireShard == 0)
        advanceBases(now);
    for (unsigned i = 0; i < c_shardsPerTick && m_shardsToSynchronize > 0; ++i) {
        --m_shardsToSynchronize;
        synchronizeShard(m_synchronizationShard);
        m_synchronizationShard = (m_synchronizationShard + 1) % FlowTable::s_shardCount;
    }
}

void FlowRouter::requestSynchronization(Bucket bucket)
{
    m_buckets[bucket].m_needsSynchronizing = true;
    m_shardsToSynchronize = FlowTable::s_shardCount;
}

void FlowRouter::synchronizeShard(std::size_t index)
{
    m_flows.walk(index, [this](FlowHash hash, FlowState& state) {
        const Bucket bucket = bucketOf(hash);
        if (!owns(bucket) || !m_buckets[bucket].m_needsSynchronizing)
            return;
        const FlowKey key { {}, state.m_service, state.m_protocol };
        // The next owner cannot distinguish a datagram of this flow from that of a new flow, which is placed elsewhere.
        if (isOnLeavingBackend(state)
            || !m_history.isDefaultSince(m_buckets[bucket].m_base, key, hash, state.m_backend))
            setOverride(state, true);
        const Endpoint replica = successor(bucket);
        if (state.m_isOverride && replica != Endpoint {} && !isReplicated(state, replica))
            m_outboxes[replica].m_flows.push_back(hash);
    });
    constexpr std::size_t bucketsPerShard = c_bucketCount / FlowTable::s_shardCount;
    bool isFinished = true;
    for (std::size_t i = 0; i < bucketsPerShard; ++i)
        isFinished = synchronizeBucket(static_cast<Bucket>(index * bucketsPerShard + i)) && isFinished;
    if (!isFinished)
        m_shardsToSynchronize = FlowTable::s_shardCount;
}

bool FlowRouter::synchronizeBucket(Bucket bucket)
{
    BucketState& state = m_buckets[bucket];
    if (!owns(bucket) || !state.m_needsSynchronizing)
        return true;
    if (state.m_syncSource != Endpoint {} || state.m_base == ConfigVersion {})
        return false;
    state.m_needsSynchronizing = false;
    const ConfigVersion base = std::max(state.m_base, state.m_nextBase);
    const Endpoint replica = successor(bucket);
    if (replica == Endpoint {})
        state.m_base = base;
    else
        m_outboxes[replica].m_synchronized[bucket] = base;
    return true;
}

void FlowRouter::advanceBases(Instant now)
{
    const bool early = m_history.size() > c_maximumVersions;
    ConfigVersion oldest = configVersion();
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        BucketState& state = m_buckets[bucket];
        const bool isDue = early || now >= state.m_allFlowsSeenAt;
        if (owns(bucket) && isDue && state.m_syncSource == Endpoint {} && state.m_base < configVersion()
            && state.m_nextBase < configVersion()) {
            state.m_nextBase = configVersion();
            requestSynchronization(bucket);
        }
        if (state.m_base != ConfigVersion {})
            oldest = std::min(oldest, state.m_base);
    }
    m_history.retireBelow(oldest);
}

ReplicaBatch FlowRouter::nextBatch(Endpoint peer, std::size_t maximumRecords, Instant now)
{
    ReplicaBatch batch;
    const auto found = m_outboxes.find(peer);
    if (found == m_outboxes.end())
        return batch;
    ReplicaOutbox& outbox = found->second;
    outbox.m_inFlight = 0;
    for (const FlowHash hash : outbox.m_flows) {
        if (batch.m_records.size() == maximumRecords)
            break;
        ++outbox.m_inFlight;
        const FlowState* const state = m_flows.find(hash);
        if (!state)
            batch.m_records.push_back(FlowRecord { hash, {}, true });
        else if (!isReplicated(*state, peer))
            batch.m_records.push_back(FlowRecord { hash, state->m_backend, false });
    }
    if (outbox.m_inFlight == outbox.m_flows.size()) {
        copyGroup(outbox.m_synchronized, batch.m_synchronized, batch.m_synchronizedBase);
        copyGroup(outbox.m_handedOver, batch.m_handedOver, batch.m_handedOverBase);
    }
    if (now >= outbox.m_nextRequestAt && !outbox.m_requested.empty()) {
        batch.m_requested.assign(outbox.m_requested.begin(), outbox.m_requested.end());
        outbox.m_nextRequestAt = now + c_requestInterval;
    }
    return batch;
}

void FlowRouter::confirmBatch(Endpoint peer, const ReplicaBatch& batch, Instant)
{
    const auto found = m_outboxes.find(peer);
    if (found == m_outboxes.end())
        return;
    ReplicaOutbox& outbox = found->second;
    for (const FlowRecord& record : batch.m_records) {
        FlowState* const state = record.m_ended ? nullptr : m_flows.find(record.m_flow);
        if (state && state->m_backend == record.m_backend) {
            state->m_replica = peer;
            state->m_relays = s_relaysPerReplica;
        }
    }
    const std::size_t deliveredCount = std::min(outbox.m_inFlight, outbox.m_flows.size());
    outbox.m_flows.erase(outbox.m_flows.begin(), outbox.m_flows.begin() + static_cast<std::ptrdiff_t>(deliveredCount));
    outbox.m_inFlight = 0;

    for (const Bucket bucket : batch.m_synchronized) {
        BucketState& state = m_buckets[bucket];
        const auto pending = outbox.m_synchronized.find(bucket);
        const bool isCurrent = pending != outbox.m_synchronized.end() && pending->second == batch.m_synchronizedBase;
        if (!isCurrent || !owns(bucket) || successor(bucket) != peer)
            continue;
        state.m_synchronizedSuccessor = peer;
        state.m_base = batch.m_synchronizedBase;
    }
    eraseDelivered(outbox.m_synchronized, batch.m_synchronized, batch.m_synchronizedBase);
    for (const Bucket bucket : batch.m_handedOver)
        m_buckets[bucket].m_isHandoverPending = false;
    eraseDelivered(outbox.m_handedOver, batch.m_handedOver, batch.m_handedOverBase);
}

bool FlowRouter::acceptBatch(Endpoint peer, const ReplicaBatch& batch, Instant now)
{
    // This VM will install the newer version soon. Versions that it has removed count as unknown.
    if (std::max(batch.m_synchronizedBase, batch.m_handedOverBase) > configVersion())
        return false;
    const ConfigVersion synchronizedBase = storedOrUnknown(batch.m_synchronizedBase);
    const ConfigVersion handedOverBase = storedOrUnknown(batch.m_handedOverBase);
    for (const FlowRecord& record : batch.m_records)
        acceptFlowRecord(peer, record, now);
    for (const Bucket bucket : batch.m_synchronized) {
        if (owns(bucket))
            continue;
        m_buckets[bucket].m_base = synchronizedBase;
        m_buckets[bucket].m_replicatedOwner = peer;
    }
    for (const Bucket bucket : batch.m_handedOver) {
        BucketState& state = m_buckets[bucket];
        m_outboxes[peer].m_requested.erase(bucket);
        if (!owns(bucket) || state.m_syncSource != peer)
            continue;
        if (handedOverBase != ConfigVersion {})
            state.m_base = handedOverBase;
        state.m_acquiredAt = now;
        finishSync(bucket);
        requestSynchronization(bucket);
    }
    if (!batch.m_requested.empty())
        acceptHandoverRequest(peer, batch.m_requested, now);
    return true;
}

void FlowRouter::acceptFlowRecord(Endpoint peer, const FlowRecord& record, Instant now)
{
    FlowState* const existing = m_flows.find(record.m_flow);
    if (record.m_ended) {
        // The sender may end a replica, but no flow that this VM owns.
        if (existing && !owns(bucketOf(record.m_flow)))
            endFlow(record.m_flow, *existing, now);
        return;
    }
    FlowState& state = existing ? *existing : m_flows.put(record.m_flow, FlowState {});
    state.m_backend = record.m_backend;
    state.m_replica = peer;
    state.m_relays = s_relaysPerReplica;
    state.m_stage = std::max(state.m_stage, FlowStage::Established);
    state.m_expires = std::max(state.m_expires, now + c_keepAliveBound);
    setOverride(state, true);
}

void FlowRouter::acceptHandoverRequest(Endpoint peer, std::span<const Bucket> requested, Instant now)
{
    ReplicaOutbox& outbox = m_outboxes[peer];
    std::vector<bool> isRequested(c_bucketCount, false);
    std::vector<bool> isShardRequested(FlowTable::s_shardCount, false);
    for (const Bucket bucket : requested) {
        if (outbox.m_handedOver.contains(bucket))
            continue;
        isRequested[bucket] = true;
        isShardRequested[FlowTable::shardIndex(bucket)] = true;
        BucketState& state = m_buckets[bucket];
        if (owns(bucket)) {
            state.m_handedOverTo = peer;
            state.m_handoverExpires = now + c_handoverGrace;
        }
        outbox.m_handedOver[bucket] = state.m_isInterimOwner ? ConfigVersion {} : state.m_base;
    }
    for (std::size_t index = 0; index < FlowTable::s_shardCount; ++index) {
        if (!isShardRequested[index])
            continue;
        m_flows.walk(index, [&](FlowHash hash, FlowState& state) {
            const Bucket bucket = bucketOf(hash);
            const bool mustRecord
                = state.m_isOverride || m_buckets[bucket].m_isInterimOwner || isOnLeavingBackend(state);
            if (!isRequested[bucket] || !mustRecord)
                return;
            // The requesting peer may have lost records that it confirmed before.
            if (state.m_replica == peer)
                state.m_relays = 0;
            outbox.m_flows.push_back(hash);
        });
    }
}

ConfigVersion FlowRouter::storedOrUnknown(ConfigVersion version) const
{
    return m_history.find(version) ? version : ConfigVersion {};
}

bool FlowRouter::isReplicated(const FlowState& state, Endpoint replica) const
{
    return state.m_replica == replica && state.m_relays >= s_relaysPerReplica;
}

bool FlowRouter::isReachable(Endpoint peers) const
{
    const Member* const member = findMember(m_members, peers);
    return member && member->m_state != MemberState::Unreachable;
}

bool FlowRouter::drained() const
{
    return m_leaving && !isOwner() && std::none_of(m_buckets.begin(), m_buckets.end(), [](const BucketState& state) {
        return state.m_isHandoverPending;
    });
}

} // namespace cuminrelay
