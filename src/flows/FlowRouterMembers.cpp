// FlowRouter on changes of the members: bucket ownership, network partitions, and pauses of this process.

#include "flows/FlowRouter.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// A process that was paused for longer than this treats its state as stale.
    constexpr Duration c_pauseTolerance = std::chrono::seconds { 1 };

    /// Longer than it takes to empty a full receive queue after a pause.
    constexpr Duration c_queueDrain = std::chrono::milliseconds { 100 };

    /// Longer than callers retransmit an unanswered opening packet.
    constexpr Duration c_openingRetransmission = std::chrono::seconds { 10 };

    /// Longer than the views of both sides take to converge after a network partition.
    constexpr Duration c_partitionRecovery = std::chrono::seconds { 3 };

    /// Longer than a paused member takes to come back with its state, shorter than the time-outs of callers.
    constexpr Duration c_unknownDropTime = std::chrono::seconds { 5 };

    /// Whether a zone has members and all of them are unreachable.
    bool isZonePartitioned(std::span<const Member> members, std::string_view zone)
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

    /// Sorted.
    std::vector<Endpoint> findPartitionedMembers(std::span<const Member> members)
    {
        std::vector<Endpoint> partitionedMembers;
        for (const Member& member : members) {
            if (isZonePartitioned(members, member.m_zone))
                partitionedMembers.push_back(member.m_peers);
        }
        std::sort(partitionedMembers.begin(), partitionedMembers.end());
        return partitionedMembers;
    }

    /// Copies members with the unreachable ones as active, as their own views show them.
    std::vector<Member> withUnreachableActive(std::span<const Member> members)
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

} // namespace

void FlowRouter::installMembers(const MemberView& view, Instant now)
{
    if (view.m_members == m_members)
        return;
    for (const Member& before : m_members) {
        const Member* const after = findMember(view.m_members, before.m_peers);
        if (after && after->m_incarnation != before.m_incarnation && before.m_peers != m_self)
            discardReplica(before.m_peers);
    }
    const bool first = m_members.empty();
    m_members = view.m_members;
    const OwnerMap previous = std::exchange(m_owners, OwnerMap { m_members });
    updateOwnerCount();
    std::erase_if(m_outboxes,
        [&](const std::pair<const Endpoint, ReplicaOutbox>& outbox) { return !findMember(m_members, outbox.first); });

    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        const MemberIndex ownerBefore = previous.owners(bucket).m_owner;
        const Endpoint before = ownerBefore == c_noMember ? Endpoint {} : previous.member(ownerBefore);
        const Endpoint after = owner(bucket);
        if (after != m_self)
            m_buckets[bucket].m_handedOverTo = {};
        if (after == m_self && before != m_self)
            acquireBucket(bucket, first ? successor(bucket) : before, now);
        else if (after != m_self && before == m_self)
            releaseBucket(bucket, now);
        BucketState& state = m_buckets[bucket];
        if (after == m_self) {
            if (state.m_syncSource != Endpoint {} && !isReachable(state.m_syncSource))
                replaceSyncSource(bucket, now);
            if (state.m_synchronizedSuccessor != successor(bucket))
                requestSynchronization(bucket);
        } else if (successor(bucket) != m_self) {
            state.m_replicatedOwner = {};
        }
    }
    // A joining VM has not received heartbeats of all members yet; that is no partition.
    const Member* const self = findMember(m_members, m_self);
    const bool isJoining = self && self->m_state == MemberState::Joining;
    const std::vector<Endpoint> partitionedMembers
        = isJoining ? std::vector<Endpoint> {} : findPartitionedMembers(m_members);
    updatePartition(partitionedMembers, now);
    updateInterimOwnership(partitionedMembers);
    if (m_partitionSince != Instant {})
        syncAfterPartition(now);
    if (first)
        syncFromThirdInRank();
}

void FlowRouter::syncFromThirdInRank()
{
    // A restarted VM syncs from its successors. A successor that was unreachable itself lacks the records that the
    // next in rank received.
    std::vector<Member> others = m_members;
    std::erase_if(others, [this](const Member& member) { return member.m_peers == m_self; });
    const OwnerMap withoutSelf { others };
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        const MemberIndex third = withoutSelf.owners(bucket).m_successor;
        if (owns(bucket) && third != c_noMember && m_buckets[bucket].m_syncSource != Endpoint {})
            m_buckets[bucket].m_nextSyncSource = withoutSelf.member(third);
    }
}

void FlowRouter::updateOwnerCount()
{
    const std::size_t owned = std::max<std::size_t>(1, ownedBucketCount());
    m_ownerCount = std::max<std::size_t>(1, (c_bucketCount + owned / 2) / owned);
    m_backendStatuses.setOwnerCount(m_ownerCount);
}

void FlowRouter::acquireBucket(Bucket bucket, Endpoint previousOwner, Instant now)
{
    BucketState& state = m_buckets[bucket];
    state.m_acquiredAt = now;
    state.m_allFlowsSeenAt = now + c_keepAliveBound;
    state.m_retransmissionsUntil = now + c_openingRetransmission;
    state.m_synchronizedSuccessor = {};
    state.m_nextBase = {};
    state.m_isHandoverPending = false;
    state.m_handedOverTo = {};
    state.m_isInterimOwner = false;
    state.m_syncSource = {};
    state.m_nextSyncSource = {};
    if (previousOwner != Endpoint {} && previousOwner != m_self) {
        if (isReachable(previousOwner))
            startSync(bucket, previousOwner);
        else if (std::exchange(state.m_replicatedOwner, {}) != previousOwner)
            replaceSyncSource(bucket, now);
    }
    if (state.m_syncSource == Endpoint {})
        finishSync(bucket);
    requestSynchronization(bucket);
}

void FlowRouter::startSync(Bucket bucket, Endpoint previousOwner)
{
    m_buckets[bucket].m_syncSource = previousOwner;
    ReplicaOutbox& outbox = m_outboxes[previousOwner];
    outbox.m_requested.insert(bucket);
    outbox.m_nextRequestAt = {};
}

void FlowRouter::replaceSyncSource(Bucket bucket, Instant now)
{
    // The successor may hold the state of the source, or the source is paused and will return with it.
    BucketState& state = m_buckets[bucket];
    const Endpoint gone = std::exchange(state.m_syncSource, {});
    const auto outbox = m_outboxes.find(gone);
    if (outbox != m_outboxes.end())
        outbox->second.m_requested.erase(bucket);
    state.m_dropUnknownUntil = now + c_unknownDropTime;
    const Endpoint next = successor(bucket);
    if (next != Endpoint {} && next != gone)
        startSync(bucket, next);
    else
        finishSync(bucket);
}

void FlowRouter::finishSync(Bucket bucket)
{
    BucketState& state = m_buckets[bucket];
    state.m_syncSource = {};
    if (!m_history.find(state.m_base))
        state.m_base = configVersion();
    const Endpoint next = std::exchange(state.m_nextSyncSource, {});
    if (next != Endpoint {} && isReachable(next))
        startSync(bucket, next);
}

void FlowRouter::releaseBucket(Bucket bucket, Instant now)
{
    BucketState& state = m_buckets[bucket];
    const bool isComplete = state.m_syncSource == Endpoint {} && now >= state.m_dropUnknownUntil;
    state.m_replicatedOwner = isComplete ? owner(bucket) : Endpoint {};
    state.m_syncSource = {};
    state.m_nextSyncSource = {};
    state.m_synchronizedSuccessor = {};
    state.m_isHandoverPending = m_leaving;
}

void FlowRouter::updatePartition(std::span<const Endpoint> partitionedMembers, Instant now)
{
    if (partitionedMembers.empty()) {
        // Members come back one by one, so the state of the partition is cleared later.
        if (m_partitionSince != Instant {} && m_partitionOverAt == Deadline {})
            m_partitionOverAt = now + c_partitionRecovery;
        return;
    }
    // In a new partition, members that returned from an earlier one own nothing on the other side.
    if (m_partitionSince == Instant {} || m_partitionOverAt != Deadline {}) {
        m_partitionedMembers.clear();
        m_interimOwners = OwnerMap {};
    }
    m_partitionOverAt = {};
    if (m_partitionSince == Instant {})
        m_partitionSince = now;
    std::vector<Endpoint> all;
    std::set_union(m_partitionedMembers.begin(), m_partitionedMembers.end(), partitionedMembers.begin(),
        partitionedMembers.end(), std::back_inserter(all));
    m_partitionedMembers = std::move(all);
}

void FlowRouter::updateInterimOwnership(std::span<const Endpoint> partitionedMembers)
{
    const OwnerMap unpartitioned
        = partitionedMembers.empty() ? OwnerMap {} : OwnerMap { withUnreachableActive(m_members) };
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        if (!owns(bucket))
            continue;
        const MemberIndex home = unpartitioned.owners(bucket).m_owner;
        m_buckets[bucket].m_isInterimOwner
            = home != c_noMember && contains(partitionedMembers, unpartitioned.member(home));
    }
}

void FlowRouter::syncAfterPartition(Instant now)
{
    // During the partition the other side may have opened flows for buckets of this VM. The interim owner of a bucket
    // is its owner in a view of that side alone, unless that member has failed since.
    std::vector<Member> returned;
    std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(returned), [&](const Member& member) {
        return member.m_state == MemberState::Active && contains(m_partitionedMembers, member.m_peers);
    });
    const OwnerMap previous = std::exchange(m_interimOwners, OwnerMap { returned });
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        const MemberIndex interimIndex = m_interimOwners.owners(bucket).m_owner;
        if (!owns(bucket) || interimIndex == c_noMember || m_interimOwners.member(interimIndex) == m_self)
            continue;
        BucketState& state = m_buckets[bucket];
        const Endpoint interimOwner = m_interimOwners.member(interimIndex);
        const MemberIndex before = previous.owners(bucket).m_owner;
        const bool isSynced
            = state.m_acquiredAt < now && before != c_noMember && previous.member(before) == interimOwner;
        if (isSynced || state.m_syncSource == interimOwner)
            continue;
        if (state.m_syncSource == Endpoint {})
            startSync(bucket, interimOwner);
        else
            state.m_nextSyncSource = interimOwner;
    }
}

void FlowRouter::discardReplica(Endpoint peer)
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
        if (bucket.m_synchronizedSuccessor == peer)
            bucket.m_synchronizedSuccessor = {};
    }
    m_outboxes.erase(peer);
}

void FlowRouter::detectPause(Instant now)
{
    const bool paused = m_lastRunAt != Instant {} && now - m_lastRunAt > c_pauseTolerance;
    m_lastRunAt = now;
    if (!paused)
        return;
    m_staleUntil = now + c_queueDrain;
    for (std::size_t index = 0; index < c_bucketCount; ++index) {
        const Bucket bucket = static_cast<Bucket>(index);
        m_buckets[bucket].m_replicatedOwner = {};
        const Endpoint interimOwner = successor(bucket);
        m_buckets[bucket].m_retransmissionsUntil = now + c_openingRetransmission;
        if (owner(bucket) == m_self && interimOwner != Endpoint {} && m_buckets[bucket].m_syncSource == Endpoint {})
            startSync(bucket, interimOwner);
    }
}

} // namespace cuminrelay
