// The slow part of FlowRouter: configurations, views of the members, and what entry VMs tell each other of flows.

#include "flows/FlowRouter.h"

#include <algorithm>
#include <iterator>

namespace cuminrelay {

namespace {

    /// A process that was not run for so long treats what it holds as old.
    constexpr Duration c_pauseTolerance = std::chrono::seconds { 1 };

    /// Longer than a full receive queue takes to be emptied after a pause.
    constexpr Duration c_queueDrain = std::chrono::milliseconds { 100 };

    /// How long a handed-over bucket stays with a member that the view does not confirm.
    constexpr Duration c_handoverGrace = std::chrono::seconds { 5 };

    /// How long a backend server that stops taking new flows may still get datagrams of flows that are not known here.
    constexpr Duration c_leavingGrace = std::chrono::seconds { 3 };

    /// Longer than callers retransmit an opening that got no answer.
    constexpr Duration c_openingRetransmission = std::chrono::seconds { 10 };

    /// Longer than the views of two sides of a cut take to follow each other once it is over.
    constexpr Duration c_cutRecovery = std::chrono::seconds { 3 };

    /// Longer than a member that was paused takes to come back with what it holds, and shorter than callers wait.
    constexpr Duration c_holdBack = std::chrono::seconds { 5 };

    /// How much of the flow table one tick walks to copy exceptions to a new successor: all of it in eight ticks.
    constexpr unsigned c_shardsPerTick = FlowTable::s_shardCount / 8;

    constexpr Duration c_wantInterval = std::chrono::seconds { 1 };

    /// Longer than the keep-alive interval of common hosts, two hours, after which each live flow has shown a packet.
    constexpr Duration c_quietFlow = std::chrono::minutes { 130 };

    /// How many configuration versions buckets may be based on before bases are advanced early.
    constexpr std::size_t c_maximumVersions = 64;

    const Member* findMember(std::span<const Member> members, Endpoint peers)
    {
        const auto found = std::find_if(
            members.begin(), members.end(), [peers](const Member& member) { return member.m_peers == peers; });
        return found == members.end() ? nullptr : &*found;
    }

    /// Whether a zone has members and none of them can be reached.
    bool isCutOff(std::span<const Member> members, std::string_view zone)
    {
        bool listed = false;
        for (const Member& member : members) {
            if (member.m_zone != zone)
                continue;
            if (member.m_state != MemberState::Unreachable)
                return false;
            listed = true;
        }
        return listed;
    }

    /// The members of the zones that are cut off, sorted.
    std::vector<Endpoint> cutOffMembers(std::span<const Member> members)
    {
        std::vector<Endpoint> cutOff;
        for (const Member& member : members) {
            if (isCutOff(members, member.m_zone))
                cutOff.push_back(member.m_peers);
        }
        std::sort(cutOff.begin(), cutOff.end());
        return cutOff;
    }

    /// The members with those that cannot be reached as they see themselves: active.
    std::vector<Member> withUnreachable(std::span<const Member> members)
    {
        std::vector<Member> all { members.begin(), members.end() };
        for (Member& member : all) {
            if (member.m_state == MemberState::Unreachable)
                member.m_state = MemberState::Active;
        }
        return all;
    }

    bool contains(std::span<const Endpoint> sorted, Endpoint member)
    {
        return std::binary_search(sorted.begin(), sorted.end(), member);
    }

    /// Moves into a batch the pending buckets that share the first one's base.
    void takeGroup(const std::map<Bucket, ConfigVersion>& pending, std::vector<Bucket>& buckets, ConfigVersion& base)
    {
        for (const auto& [bucket, version] : pending) {
            if (buckets.empty())
                base = version;
            if (version == base)
                buckets.push_back(bucket);
        }
    }

    /// Removes from what is pending the buckets that a batch told, unless their base has changed since.
    void eraseTold(std::map<Bucket, ConfigVersion>& pending, std::span<const Bucket> buckets, ConfigVersion base)
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
    noteLeavingBackends(before.get(), backendServers, now);
    std::vector<Endpoint> declared;
    declared.reserve(backendServers.size());
    for (const BackendServer& server : backendServers) {
        m_board.declare(server.m_tunnel, server.m_slots, server.m_connectionLimit, server.m_draining, now);
        declared.push_back(server.m_tunnel);
    }
    m_board.retainOnly(declared);

    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        BucketState& state = m_buckets[bucket];
        if (!owns(bucket))
            continue;
        if (state.m_base == ConfigVersion {} && state.m_warmingFrom == Endpoint {})
            state.m_base = configVersion();
        // Datagrams of flows whose default takes no new ones any more become exceptions.
        requestSettling(bucket);
    }
    return true;
}

void FlowRouter::noteLeavingBackends(
    const ServiceTables* before, std::span<const BackendServer> backendServers, Instant now)
{
    std::erase_if(
        m_leavingBackends, [now](const std::pair<const Endpoint, Deadline>& leaving) { return now >= leaving.second; });
    for (const BackendServer& server : backendServers) {
        const BackendStatus* const status = m_board.find(server.m_tunnel);
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
        m_board.apply(report);
}

void FlowRouter::installMembers(const MemberView& view, Instant now)
{
    if (view.m_members == m_members)
        return;
    for (const Member& before : m_members) {
        const Member* const after = findMember(view.m_members, before.m_peers);
        if (after && after->m_incarnation != before.m_incarnation && before.m_peers != m_self)
            forgetReplica(before.m_peers);
    }
    const bool first = m_members.empty();
    m_members = view.m_members;
    const OwnerMap previous = std::exchange(m_owners, OwnerMap { m_members });
    noteShare();
    std::erase_if(m_outboxes,
        [&](const std::pair<const Endpoint, ReplicaOutbox>& outbox) { return !findMember(m_members, outbox.first); });

    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        const MemberIndex ownerBefore = previous.owners(bucket).m_owner;
        const Endpoint before = ownerBefore == c_noMember ? Endpoint {} : previous.member(ownerBefore);
        const Endpoint after = owner(bucket);
        if (after != m_self)
            m_buckets[bucket].m_handedTo = {};
        if (after == m_self && before != m_self)
            takeBucket(bucket, first ? successor(bucket) : before, now);
        else if (after != m_self && before == m_self)
            loseBucket(bucket, now);
        BucketState& state = m_buckets[bucket];
        if (after == m_self) {
            if (state.m_warmingFrom != Endpoint {} && !isReachable(state.m_warmingFrom))
                replaceSource(bucket, now);
            if (state.m_settledWith != successor(bucket))
                requestSettling(bucket);
        } else if (successor(bucket) != m_self) {
            state.m_copyOf = {};
        }
    }
    const std::vector<Endpoint> cutOff = cutOffMembers(m_members);
    noteCut(cutOff, now);
    noteBeyondCut(cutOff);
    if (m_cutSince != Instant {})
        warmAfterCut(now);
    if (first)
        warmFromThirds();
}

void FlowRouter::warmFromThirds()
{
    // A VM that starts again asks its successors; one that was away itself has missed what the next in rank was told.
    std::vector<Member> others = m_members;
    std::erase_if(others, [this](const Member& member) { return member.m_peers == m_self; });
    const OwnerMap withoutSelf { others };
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        const MemberIndex third = withoutSelf.owners(bucket).m_successor;
        if (owns(bucket) && third != c_noMember && m_buckets[bucket].m_warmingFrom != Endpoint {})
            m_buckets[bucket].m_warmingNext = withoutSelf.member(third);
    }
}

void FlowRouter::noteShare()
{
    const std::size_t owned = std::max<std::size_t>(1, ownedBucketCount());
    m_ownerCount = std::max<std::size_t>(1, (c_bucketCount + owned / 2) / owned);
    m_board.setOwnerCount(m_ownerCount);
}

void FlowRouter::takeBucket(Bucket bucket, Endpoint previousOwner, Instant now)
{
    BucketState& state = m_buckets[bucket];
    state.m_acquiredAt = now;
    state.m_completeAt = now + c_quietFlow;
    state.m_trustDefaultUntil = now + c_openingRetransmission;
    state.m_settledWith = {};
    state.m_nextBase = {};
    state.m_owed = false;
    state.m_handedTo = {};
    state.m_beyondCut = false;
    state.m_warmingFrom = {};
    state.m_warmingNext = {};
    if (previousOwner != Endpoint {} && previousOwner != m_self) {
        if (isReachable(previousOwner))
            warmFrom(bucket, previousOwner);
        else if (std::exchange(state.m_copyOf, {}) != previousOwner)
            replaceSource(bucket, now);
    }
    if (state.m_warmingFrom == Endpoint {})
        finishWarming(bucket);
    requestSettling(bucket);
}

void FlowRouter::warmFrom(Bucket bucket, Endpoint previousOwner)
{
    m_buckets[bucket].m_warmingFrom = previousOwner;
    ReplicaOutbox& outbox = m_outboxes[previousOwner];
    outbox.m_wanted.insert(bucket);
    outbox.m_wantAgainAt = {};
}

void FlowRouter::replaceSource(Bucket bucket, Instant now)
{
    // The successor may hold what the source had; or the source was paused and comes back with it.
    BucketState& state = m_buckets[bucket];
    const Endpoint gone = std::exchange(state.m_warmingFrom, {});
    const auto outbox = m_outboxes.find(gone);
    if (outbox != m_outboxes.end())
        outbox->second.m_wanted.erase(bucket);
    state.m_holdBackUntil = now + c_holdBack;
    const Endpoint next = successor(bucket);
    if (next != Endpoint {} && next != gone)
        warmFrom(bucket, next);
    else
        finishWarming(bucket);
}

void FlowRouter::finishWarming(Bucket bucket)
{
    BucketState& state = m_buckets[bucket];
    state.m_warmingFrom = {};
    if (!m_history.find(state.m_base))
        state.m_base = configVersion();
    const Endpoint next = std::exchange(state.m_warmingNext, {});
    if (next != Endpoint {} && isReachable(next))
        warmFrom(bucket, next);
}

void FlowRouter::loseBucket(Bucket bucket, Instant now)
{
    BucketState& state = m_buckets[bucket];
    const bool isComplete = state.m_warmingFrom == Endpoint {} && now >= state.m_holdBackUntil;
    state.m_copyOf = isComplete ? owner(bucket) : Endpoint {};
    state.m_warmingFrom = {};
    state.m_warmingNext = {};
    state.m_settledWith = {};
    state.m_owed = m_leaving;
}

void FlowRouter::noteCut(std::span<const Endpoint> cutOff, Instant now)
{
    if (cutOff.empty()) {
        // Members come back one by one; what is left beyond the cut is forgotten a while later.
        if (m_cutSince != Instant {} && m_cutOverAt == Deadline {})
            m_cutOverAt = now + c_cutRecovery;
        return;
    }
    // Another cut: whoever came back from an earlier one owns nothing beyond this one.
    if (m_cutSince == Instant {} || m_cutOverAt != Deadline {}) {
        m_wereCutOff.clear();
        m_standIns = OwnerMap {};
    }
    m_cutOverAt = {};
    if (m_cutSince == Instant {})
        m_cutSince = now;
    std::vector<Endpoint> all;
    std::set_union(m_wereCutOff.begin(), m_wereCutOff.end(), cutOff.begin(), cutOff.end(), std::back_inserter(all));
    m_wereCutOff = std::move(all);
}

void FlowRouter::noteBeyondCut(std::span<const Endpoint> cutOff)
{
    const OwnerMap uncut = cutOff.empty() ? OwnerMap {} : OwnerMap { withUnreachable(m_members) };
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        if (!owns(bucket))
            continue;
        const MemberIndex home = uncut.owners(bucket).m_owner;
        m_buckets[bucket].m_beyondCut = home != c_noMember && contains(cutOff, uncut.member(home));
    }
}

void FlowRouter::warmAfterCut(Instant now)
{
    // While the fleet was cut, the other side may have opened flows for buckets of this VM. Whoever owned a bucket
    // there is the owner in a view of that side alone, or was and is gone by now.
    std::vector<Member> returned;
    std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(returned), [&](const Member& member) {
        return member.m_state == MemberState::Active && contains(m_wereCutOff, member.m_peers);
    });
    const OwnerMap previous = std::exchange(m_standIns, OwnerMap { returned });
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        const MemberIndex stand = m_standIns.owners(bucket).m_owner;
        if (!owns(bucket) || stand == c_noMember || m_standIns.member(stand) == m_self)
            continue;
        BucketState& state = m_buckets[bucket];
        const Endpoint standIn = m_standIns.member(stand);
        const MemberIndex before = previous.owners(bucket).m_owner;
        const bool wasAsked = state.m_acquiredAt < now && before != c_noMember && previous.member(before) == standIn;
        if (wasAsked || state.m_warmingFrom == standIn)
            continue;
        if (state.m_warmingFrom == Endpoint {})
            warmFrom(bucket, standIn);
        else
            state.m_warmingNext = standIn;
    }
}

void FlowRouter::forgetReplica(Endpoint peer)
{
    for (std::size_t index = 0; index < FlowTable::s_shardCount; ++index) {
        m_flows.walk(index, [peer](FlowHash, FlowState& state) {
            if (state.m_replica != peer)
                return;
            state.m_replica = {};
            state.m_relays = 0;
        });
    }
    for (BucketState& bucket : m_buckets) {
        if (bucket.m_settledWith == peer)
            bucket.m_settledWith = {};
    }
    m_outboxes.erase(peer);
}

void FlowRouter::notePause(Instant now)
{
    const bool paused = m_ranAt != Instant {} && now - m_ranAt > c_pauseTolerance;
    m_ranAt = now;
    if (!paused)
        return;
    m_staleUntil = now + c_queueDrain;
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        m_buckets[bucket].m_copyOf = {};
        const Endpoint standIn = successor(bucket);
        m_buckets[bucket].m_trustDefaultUntil = now + c_openingRetransmission;
        if (owner(bucket) == m_self && standIn != Endpoint {} && m_buckets[bucket].m_warmingFrom == Endpoint {})
            warmFrom(bucket, standIn);
    }
}

void FlowRouter::tick(Instant now)
{
    notePause(now);
    if (m_cutOverAt != Deadline {} && now >= m_cutOverAt) {
        m_cutSince = m_cutOverAt = {};
        m_wereCutOff.clear();
        m_heldOpenings.clear();
        m_standIns = OwnerMap {};
    }
    expireShard(m_expireShard, now);
    m_expireShard = (m_expireShard + 1) % FlowTable::s_shardCount;
    if (m_expireShard == 0)
        advanceBases(now);
    for (unsigned i = 0; i < c_shardsPerTick && m_shardsToSettle > 0; ++i) {
        --m_shardsToSettle;
        settleShard(m_settleShard);
        m_settleShard = (m_settleShard + 1) % FlowTable::s_shardCount;
    }
}

void FlowRouter::requestSettling(Bucket bucket)
{
    m_buckets[bucket].m_needsSettling = true;
    m_shardsToSettle = FlowTable::s_shardCount;
}

void FlowRouter::settleShard(std::size_t index)
{
    m_flows.walk(index, [this](FlowHash hash, FlowState& state) {
        const Bucket bucket = bucketOf(hash);
        if (!owns(bucket) || !m_buckets[bucket].m_needsSettling)
            return;
        const FlowKey key { {}, state.m_service, state.m_protocol };
        // Who takes over can't tell a datagram of this flow from a new one's, which goes elsewhere.
        if (isLeftBehind(state) || !m_history.isDefaultSince(m_buckets[bucket].m_base, key, hash, state.m_backend))
            setException(state, true);
        const Endpoint replica = successor(bucket);
        if (state.m_exception && replica != Endpoint {} && !isReplicated(state, replica))
            m_outboxes[replica].m_flows.push_back(hash);
    });
    constexpr std::size_t bucketsPerShard = c_bucketCount / FlowTable::s_shardCount;
    bool isFinished = true;
    for (std::size_t i = 0; i < bucketsPerShard; ++i)
        isFinished = settleBucket(static_cast<Bucket>(index * bucketsPerShard + i)) && isFinished;
    if (!isFinished)
        m_shardsToSettle = FlowTable::s_shardCount;
}

bool FlowRouter::settleBucket(Bucket bucket)
{
    BucketState& state = m_buckets[bucket];
    if (!owns(bucket) || !state.m_needsSettling)
        return true;
    if (state.m_warmingFrom != Endpoint {} || state.m_base == ConfigVersion {})
        return false;
    state.m_needsSettling = false;
    const ConfigVersion base = std::max(state.m_base, state.m_nextBase);
    const Endpoint replica = successor(bucket);
    if (replica == Endpoint {})
        state.m_base = base;
    else
        m_outboxes[replica].m_settled[bucket] = base;
    return true;
}

void FlowRouter::advanceBases(Instant now)
{
    const bool early = m_history.size() > c_maximumVersions;
    ConfigVersion oldest = configVersion();
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        BucketState& state = m_buckets[bucket];
        const bool isDue = early || now >= state.m_completeAt;
        if (owns(bucket) && isDue && state.m_warmingFrom == Endpoint {} && state.m_base < configVersion()
            && state.m_nextBase < configVersion()) {
            state.m_nextBase = configVersion();
            requestSettling(bucket);
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
    outbox.m_offered = 0;
    for (const FlowHash hash : outbox.m_flows) {
        if (batch.m_records.size() == maximumRecords)
            break;
        ++outbox.m_offered;
        const FlowState* const state = m_flows.find(hash);
        if (!state)
            batch.m_records.push_back(FlowRecord { hash, {}, true });
        else if (!isReplicated(*state, peer))
            batch.m_records.push_back(FlowRecord { hash, state->m_backend, false });
    }
    if (outbox.m_offered == outbox.m_flows.size()) {
        takeGroup(outbox.m_settled, batch.m_settled, batch.m_settledBase);
        takeGroup(outbox.m_handedOver, batch.m_handedOver, batch.m_handedOverBase);
    }
    if (now >= outbox.m_wantAgainAt && !outbox.m_wanted.empty()) {
        batch.m_wanted.assign(outbox.m_wanted.begin(), outbox.m_wanted.end());
        outbox.m_wantAgainAt = now + c_wantInterval;
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
    const std::size_t told = std::min(outbox.m_offered, outbox.m_flows.size());
    outbox.m_flows.erase(outbox.m_flows.begin(), outbox.m_flows.begin() + static_cast<std::ptrdiff_t>(told));
    outbox.m_offered = 0;

    for (const Bucket bucket : batch.m_settled) {
        BucketState& state = m_buckets[bucket];
        const auto pending = outbox.m_settled.find(bucket);
        const bool isCurrent = pending != outbox.m_settled.end() && pending->second == batch.m_settledBase;
        if (!isCurrent || !owns(bucket) || successor(bucket) != peer)
            continue;
        state.m_settledWith = peer;
        state.m_base = batch.m_settledBase;
    }
    eraseTold(outbox.m_settled, batch.m_settled, batch.m_settledBase);
    for (const Bucket bucket : batch.m_handedOver)
        m_buckets[bucket].m_owed = false;
    eraseTold(outbox.m_handedOver, batch.m_handedOver, batch.m_handedOverBase);
}

bool FlowRouter::acceptBatch(Endpoint peer, const ReplicaBatch& batch, Instant now)
{
    // This VM lags behind and will hold these versions soon. Versions that are gone for good count as unknown.
    if (std::max(batch.m_settledBase, batch.m_handedOverBase) > configVersion())
        return false;
    const ConfigVersion settledBase = heldOrUnknown(batch.m_settledBase);
    const ConfigVersion handedOverBase = heldOrUnknown(batch.m_handedOverBase);
    for (const FlowRecord& record : batch.m_records)
        acceptFlowRecord(peer, record, now);
    for (const Bucket bucket : batch.m_settled) {
        if (owns(bucket))
            continue;
        m_buckets[bucket].m_base = settledBase;
        m_buckets[bucket].m_copyOf = peer;
    }
    for (const Bucket bucket : batch.m_handedOver) {
        BucketState& state = m_buckets[bucket];
        m_outboxes[peer].m_wanted.erase(bucket);
        if (!owns(bucket) || state.m_warmingFrom != peer)
            continue;
        if (handedOverBase != ConfigVersion {})
            state.m_base = handedOverBase;
        state.m_acquiredAt = now;
        finishWarming(bucket);
        requestSettling(bucket);
    }
    if (!batch.m_wanted.empty())
        answerWanted(peer, batch.m_wanted, now);
    return true;
}

void FlowRouter::acceptFlowRecord(Endpoint peer, const FlowRecord& record, Instant now)
{
    FlowState* const known = m_flows.find(record.m_flow);
    if (record.m_ended) {
        // The sender's word ends a copy, never a flow that this VM owns itself.
        if (known && !owns(bucketOf(record.m_flow)))
            endFlow(record.m_flow, *known, now);
        return;
    }
    FlowState& state = known ? *known : m_flows.put(record.m_flow, FlowState {});
    state.m_backend = record.m_backend;
    state.m_replica = peer;
    state.m_relays = s_relaysPerReplica;
    state.m_stage = std::max(state.m_stage, FlowStage::Established);
    state.m_expires = std::max(state.m_expires, now + c_quietFlow);
    setException(state, true);
}

void FlowRouter::answerWanted(Endpoint peer, std::span<const Bucket> wanted, Instant now)
{
    ReplicaOutbox& outbox = m_outboxes[peer];
    std::vector<bool> isWanted(c_bucketCount, false);
    std::vector<bool> hasWanted(FlowTable::s_shardCount, false);
    for (const Bucket bucket : wanted) {
        if (outbox.m_handedOver.contains(bucket))
            continue;
        isWanted[bucket] = true;
        hasWanted[FlowTable::shardIndex(bucket)] = true;
        BucketState& state = m_buckets[bucket];
        if (owns(bucket)) {
            state.m_handedTo = peer;
            state.m_handedUntil = now + c_handoverGrace;
        }
        outbox.m_handedOver[bucket] = state.m_beyondCut ? ConfigVersion {} : state.m_base;
    }
    for (std::size_t index = 0; index < FlowTable::s_shardCount; ++index) {
        if (!hasWanted[index])
            continue;
        m_flows.walk(index, [&](FlowHash hash, FlowState& state) {
            const Bucket bucket = bucketOf(hash);
            const bool mustTell = state.m_exception || m_buckets[bucket].m_beyondCut || isLeftBehind(state);
            if (!isWanted[bucket] || !mustTell)
                return;
            // Who asks may have lost what it was told before.
            if (state.m_replica == peer)
                state.m_relays = 0;
            outbox.m_flows.push_back(hash);
        });
    }
}

ConfigVersion FlowRouter::heldOrUnknown(ConfigVersion version) const
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
    return m_leaving && !isOwner()
        && std::none_of(m_buckets.begin(), m_buckets.end(), [](const BucketState& state) { return state.m_owed; });
}

} // namespace cuminrelay
