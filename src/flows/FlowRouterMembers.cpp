// FlowRouter on changes of the members: bucket ownership, network partitions, and pauses of this process.

#include "flows/FlowRouter.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// A process that did not run for longer treats its state as stale.
    constexpr Duration c_pauseTolerance = std::chrono::seconds { 1 };

    /// Longer than it takes to empty a full receive queue after a pause.
    constexpr Duration c_queueDrain = std::chrono::milliseconds { 100 };

    /// Longer than callers retransmit an unanswered opening packet.
    constexpr Duration c_openingRetransmission = std::chrono::seconds { 10 };

    /// Longer than the views of both sides take to converge after a network partition.
    constexpr Duration c_cutRecovery = std::chrono::seconds { 3 };

    /// Longer than a paused member takes to come back with its state, shorter than the time-outs of callers.
    constexpr Duration c_holdBack = std::chrono::seconds { 5 };

    /// Whether a zone has members and all of them are unreachable.
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

    /// The members of the partitioned zones, sorted.
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

    /// The members, with the unreachable ones as active, which is how they see themselves.
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

} // namespace

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
    // A joining VM has not received heartbeats of all members yet; that is no partition.
    const Member* const self = findMember(m_members, m_self);
    const bool isJoining = self && self->m_state == MemberState::Joining;
    const std::vector<Endpoint> cutOff = isJoining ? std::vector<Endpoint> {} : cutOffMembers(m_members);
    noteCut(cutOff, now);
    noteBeyondCut(cutOff);
    if (m_cutSince != Instant {})
        warmAfterCut(now);
    if (first)
        warmFromThirds();
}

void FlowRouter::warmFromThirds()
{
    // A restarted VM syncs from its successors. A successor that was away itself lacks the records that the next in
    // rank received.
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
    // The successor may hold the state of the source, or the source was paused and comes back with it.
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
        // Members come back one by one, so the state of the partition is cleared later.
        if (m_cutSince != Instant {} && m_cutOverAt == Deadline {})
            m_cutOverAt = now + c_cutRecovery;
        return;
    }
    // In a new partition, members that returned from an earlier one own nothing on the other side.
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
    // During the partition the other side may have opened flows for buckets of this VM. The interim owner of a bucket
    // is its owner in a view of that side alone, unless that member has failed since.
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

} // namespace cuminrelay
