#include "members/Membership.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_readersPerZone = 2;
    constexpr std::uint64_t c_readerSeed = 0x7265616465727a6f;

    std::uint64_t digestOf(const Member& member, MemberState state)
    {
        return hashPair(hashPair(member.m_peers.packed(), member.m_incarnation), static_cast<std::uint64_t>(state));
    }

} // namespace

Membership::Membership(Member self, std::size_t fullMeshLimit, Instant now)
    : m_self(std::move(self))
    , m_fullMeshLimit(fullMeshLimit)
    , m_sampler(m_self.m_peers.packed())
    , m_lastTickAt(now)
    , m_convergenceDeadline(now + s_convergenceTimeout)
{
    rebuildView();
}

void Membership::updateSelf(std::uint64_t incarnation, MemberState state, const MemberStatistics& statistics)
{
    m_ownStatistics = statistics;
    m_self.m_incarnation = incarnation;
    m_entryState = state;
    refreshSelf();
    rebuildView();
}

void Membership::refreshSelf()
{
    const bool leaving = m_isSelfListedLeaving && m_entryState != MemberState::Unreachable;
    m_self.m_state = leaving ? MemberState::Leaving : m_entryState;
}

void Membership::applyList(std::span<const Member> listed, Instant now)
{
    m_hasReceivedMembers = true;
    m_hasReceivedList = true;
    for (auto& [peers, record] : m_records) {
        if (record.m_isListed)
            record.m_removalDeadline = now + s_removalTimeout;
        record.m_isListed = false;
        record.m_isListedLeaving = false;
    }
    m_isSelfListedLeaving = false;
    for (const Member& member : listed) {
        const bool leaving = member.m_state == MemberState::Leaving;
        if (member.m_peers == m_self.m_peers) {
            m_isSelfListedLeaving = leaving;
            continue;
        }
        const auto [found, added] = m_records.try_emplace(member.m_peers);
        MemberRecord& record = found->second;
        if (!record.m_isAlive) {
            const std::uint64_t incarnation = record.m_member.m_incarnation;
            const MemberState state = added ? MemberState::Unreachable : record.m_member.m_state;
            record.m_member = member;
            record.m_member.m_incarnation = incarnation;
            record.m_member.m_state = state;
        }
        record.m_isListed = true;
        record.m_isListedLeaving = leaving;
    }
    refreshSelf();
    rebuildView();
}

void Membership::applyMemberHeartbeat(const MemberHeartbeat& heartbeat, Instant now)
{
    if (heartbeat.m_sender.m_peers == m_self.m_peers)
        return;
    m_hasReceivedMembers = true;
    MemberRecord& record = m_records[heartbeat.m_sender.m_peers];
    if (record.m_isAlive && heartbeat.m_sequence < record.m_sequence)
        return;
    const bool changed = !record.m_isAlive || record.m_member != heartbeat.m_sender;
    const bool shouldGossip = record.m_isSuspected
        || record.m_statistics.m_configVersion != heartbeat.m_statistics.m_configVersion || now >= record.m_refreshAt;
    record.m_member = heartbeat.m_sender;
    record.m_sequence = heartbeat.m_sequence;
    record.m_statistics = heartbeat.m_statistics;
    record.m_isAlive = true;
    record.m_heartbeatDeadline = record.m_isMonitored ? std::max(record.m_heartbeatDeadline, now + s_heartbeatTimeout)
                                                      : now + s_heartbeatTimeout;
    record.m_isMonitored = true;
    record.m_isSuspected = false;
    record.m_removalDeadline = std::max(record.m_removalDeadline, now + s_removalTimeout);
    if (heartbeat.m_sender.m_zone != m_self.m_zone)
        applyZoneContact(heartbeat.m_sender.m_zone, now);
    if (shouldGossip && usesGossip()) {
        record.m_refreshAt = now + refreshInterval();
        markChanged(record, heartbeat.m_sender.m_peers);
    }
    if (changed)
        rebuildView();
}

void Membership::applySummary(std::span<const MemberHeartbeat> members, Instant now)
{
    m_hasReceivedMembers = true;
    for (const MemberHeartbeat& reported : members) {
        const Member& member = reported.m_sender;
        if (member.m_peers == m_self.m_peers)
            continue;
        const auto [found, added] = m_records.try_emplace(member.m_peers);
        if (isFullMesh() || (member.m_zone == m_self.m_zone && !usesGossip()))
            applyExistence(found->second, member, added, now);
        else
            applyReportedState(found->second, reported, added, now);
    }
    rebuildView();
}

void Membership::applyExistence(MemberRecord& record, const Member& reported, bool isNew, Instant now)
{
    const bool reachable = reported.m_state != MemberState::Unreachable;
    if (isNew || (record.m_isListed && !reachable))
        record.m_removalDeadline = now + s_removalTimeout;
    record.m_isListed = reachable;
    if (record.m_isAlive)
        return;
    const MemberState state = isNew ? MemberState::Unreachable : record.m_member.m_state;
    record.m_member = reported;
    record.m_member.m_state = state;
}

void Membership::applyReportedState(MemberRecord& record, const MemberHeartbeat& reported, bool isNew, Instant now)
{
    if (isNew) {
        record.m_member = reported.m_sender;
        record.m_member.m_state = MemberState::Unreachable;
        record.m_removalDeadline = now + s_removalTimeout;
    }
    if (reported.m_sender.m_state == MemberState::Unreachable)
        applyReportedUnreachable(record, reported, isNew, now);
    else
        applyReportedReachable(record, reported, now);
}

void Membership::applyReportedReachable(MemberRecord& record, const MemberHeartbeat& reported, Instant now)
{
    if (reported.m_sequence < record.m_sequence || (reported.m_sequence == record.m_sequence && record.m_isAlive))
        return;
    const bool shouldGossip = record.m_isSuspected
        || record.m_statistics.m_configVersion != reported.m_statistics.m_configVersion
        || now >= record.m_refreshAt - refreshInterval() / 2;
    record.m_member = reported.m_sender;
    record.m_sequence = reported.m_sequence;
    record.m_statistics = reported.m_statistics;
    record.m_reportedSequence = std::max(record.m_reportedSequence, reported.m_sequence);
    record.m_isAlive = true;
    record.m_isSuspected = false;
    record.m_isReportedUnreachable = false;
    record.m_removalDeadline = std::max(record.m_removalDeadline, now + s_removalTimeout);
    if (!shouldGossip || !usesGossip() || reported.m_sender.m_zone != m_self.m_zone)
        return;
    record.m_refreshAt = now + refreshInterval();
    markChanged(record, reported.m_sender.m_peers);
}

void Membership::applyReportedUnreachable(
    MemberRecord& record, const MemberHeartbeat& reported, bool isNew, Instant now)
{
    record.m_reportedSequence = std::max(record.m_reportedSequence, reported.m_sequence);
    if (isNew)
        record.m_sequence = reported.m_sequence;
    if (!record.m_isAlive)
        return;
    const bool localZone = reported.m_sender.m_zone == m_self.m_zone;
    if (!localZone && record.m_isMonitored) {
        record.m_isReportedUnreachable = true;
        return;
    }
    if (reported.m_sequence < record.m_sequence) {
        // The stored state is newer: gossip it.
        markChanged(record, reported.m_sender.m_peers);
        return;
    }
    record.m_sequence = reported.m_sequence;
    if (localZone)
        suspect(record, now);
    else
        markUnreachable(record, now);
}

void Membership::markUnreachable(MemberRecord& record, Instant now)
{
    record.m_isAlive = false;
    record.m_isMonitored = false;
    record.m_isSuspected = false;
    record.m_isReportedUnreachable = false;
    record.m_member.m_state = MemberState::Unreachable;
    record.m_removalDeadline = std::max(record.m_removalDeadline, now + s_removalTimeout);
}

void Membership::suspect(MemberRecord& record, Instant now)
{
    if (record.m_isSuspected)
        return;
    record.m_isSuspected = true;
    record.m_suspicionDeadline = now + s_suspicionTimeout;
    markChanged(record, record.m_member.m_peers);
}

void Membership::applyZoneContact(std::string_view zone, Instant lastContactAt)
{
    if (zone == m_self.m_zone)
        return;
    const auto [found, added] = m_zoneContacts.try_emplace(std::string { zone }, lastContactAt);
    found->second = std::max(found->second, lastContactAt);
}

void Membership::stopMonitoring(Endpoint peers, Instant now)
{
    const auto found = m_records.find(peers);
    if (found == m_records.end() || usesDirectDetection(found->second))
        return;
    // A sampled member's heartbeats continue on another connection.
    found->second.m_isMonitored = found->second.m_isMonitored && m_sampler.isSelected(peers);
    found->second.m_heartbeatDeadline = now + s_heartbeatTimeout;
}

Duration Membership::refreshInterval() const
{
    return s_refreshIntervalPerMember * static_cast<std::int64_t>(m_zonePeers.size());
}

void Membership::markChanged(MemberRecord& record, Endpoint peers)
{
    m_byRevision.erase(record.m_revision);
    record.m_revision = ++m_revision;
    m_byRevision.emplace(m_revision, peers);
}

void Membership::markChanged(Endpoint peers)
{
    if (peers != m_self.m_peers) {
        MemberRecord& record = m_records.at(peers);
        markChanged(record, peers);
        record.m_viewRevision = record.m_revision;
        return;
    }
    m_byRevision.erase(m_selfRevision);
    m_selfRevision = ++m_revision;
    m_byRevision.emplace(m_revision, peers);
}

std::vector<MemberHeartbeat> Membership::changedSince(std::uint64_t& revision, bool localZone, std::size_t limit) const
{
    const std::uint64_t since = revision;
    std::vector<MemberHeartbeat> changed;
    for (auto entry = m_byRevision.upper_bound(revision); entry != m_byRevision.end(); ++entry) {
        if (changed.size() == limit)
            return changed;
        revision = entry->first;
        if (entry->second == m_self.m_peers) {
            changed.push_back({ m_self, 0, m_ownStatistics });
            continue;
        }
        const MemberRecord& record = m_records.at(entry->second);
        if (localZone && (record.m_member.m_zone != m_self.m_zone || record.m_viewRevision <= since))
            continue;
        changed.push_back({ record.m_member, record.m_sequence, record.m_statistics });
        const bool reportAsUnreachable = record.m_isSuspected && !localZone;
        changed.back().m_sender.m_state = reportAsUnreachable ? MemberState::Unreachable : effectiveState(record);
    }
    return changed;
}

void Membership::tick(Instant now)
{
    const bool paused = now - m_lastTickAt > s_pauseThreshold;
    m_lastTickAt = now;
    bool changed = false;
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        MemberRecord& record = entry->second;
        if (paused) {
            record.m_heartbeatDeadline = std::max(record.m_heartbeatDeadline, now + s_heartbeatTimeout);
            record.m_removalDeadline = std::max(record.m_removalDeadline, now + s_heartbeatTimeout);
            record.m_suspicionDeadline = std::max(record.m_suspicionDeadline, now + s_heartbeatTimeout);
        }
        changed |= tickMember(record, now);
        if (!record.m_isAlive && !record.m_isListed && now >= record.m_removalDeadline) {
            m_byRevision.erase(record.m_revision);
            entry = m_records.erase(entry);
            changed = true;
            continue;
        }
        ++entry;
    }
    if (paused) {
        for (auto& [zone, lastContactAt] : m_zoneContacts)
            lastContactAt = now;
    }
    changed |= updatePartitionedZones(now);
    if (changed)
        rebuildView();
    selectPeers(now);
}

bool Membership::usesDirectDetection(const MemberRecord& record) const
{
    return isFullMesh() || (record.m_member.m_zone == m_self.m_zone && !usesGossip());
}

bool Membership::tickMember(MemberRecord& record, Instant now)
{
    if (usesDirectDetection(record) && record.m_isAlive && !record.m_isMonitored) {
        // Reported only by others so far: allow time for a direct heartbeat.
        record.m_isMonitored = true;
        record.m_heartbeatDeadline = now + 2 * s_heartbeatTimeout;
    }
    const bool timedOut = record.m_isAlive && record.m_isMonitored && now >= record.m_heartbeatDeadline;
    if (timedOut && !usesDirectDetection(record)) {
        record.m_isMonitored = false;
        if (record.m_member.m_zone == m_self.m_zone)
            suspect(record, now);
        else
            record.m_sequence = record.m_reportedSequence; // reports may lag behind heartbeats
    }
    const bool confirmed = record.m_isSuspected && now >= record.m_suspicionDeadline;
    const bool unreachable = usesDirectDetection(record)
        ? timedOut
        : record.m_isAlive && (confirmed || (timedOut && record.m_isReportedUnreachable));
    if (unreachable)
        markUnreachable(record, now);
    return unreachable;
}

bool Membership::updatePartitionedZones(Instant now)
{
    std::set<std::string, std::less<>> partitioned;
    for (const Member& member : m_view.m_members) {
        if (member.m_zone == m_self.m_zone || isFullMesh())
            continue;
        const Instant lastContactAt = m_zoneContacts.try_emplace(member.m_zone, now).first->second;
        if (now - lastContactAt >= s_zoneTimeout)
            partitioned.insert(member.m_zone);
    }
    const bool changed = partitioned != m_partitionedZones;
    m_partitionedZones = std::move(partitioned);
    return changed;
}

void Membership::selectPeers(Instant now)
{
    if (!usesGossip()) {
        m_sampler.clear();
        return;
    }
    for (const Endpoint peers : m_sampler.refresh(m_zonePeers, now)) {
        MemberRecord& record = m_records.at(peers);
        if (record.m_isMonitored || !record.m_isAlive)
            continue;
        record.m_isMonitored = true;
        record.m_heartbeatDeadline = now + s_heartbeatTimeout;
    }
}

bool Membership::sendsHeartbeatsTo(Endpoint control) const
{
    const std::vector<Member> peers = heartbeatTargets();
    return std::ranges::find(peers, control, &Member::m_control) != peers.end();
}

bool Membership::isConverged(Instant now)
{
    if (m_isConverged)
        return true;
    if (!m_hasReceivedMembers)
        return false;
    bool allAlive = m_hasReceivedList;
    for (const auto& [peers, record] : m_records)
        allAlive = allAlive && record.m_isAlive;
    m_isConverged = allAlive || now >= m_convergenceDeadline;
    return m_isConverged;
}

bool Membership::isMember(std::uint32_t address) const
{
    return m_addresses.contains(address) || m_previousAddresses.contains(address);
}

std::vector<Member> Membership::rankedMembers(std::string_view zone) const
{
    std::vector<Member> members;
    for (const Member& member : m_view.m_members) {
        if (member.m_zone == zone)
            members.push_back(member);
    }
    const std::uint64_t zoneHash = hashText(zone, c_readerSeed);
    std::ranges::sort(members, [zoneHash](const Member& left, const Member& right) {
        const bool leftReachable = left.m_state != MemberState::Unreachable;
        const bool rightReachable = right.m_state != MemberState::Unreachable;
        if (leftReachable != rightReachable)
            return leftReachable;
        return hashPair(zoneHash, left.m_peers.packed()) > hashPair(zoneHash, right.m_peers.packed());
    });
    return members;
}

std::vector<Member> Membership::zoneReaders(std::string_view zone) const
{
    std::vector<Member> members = rankedMembers(zone);
    if (members.size() > c_readersPerZone)
        members.resize(c_readersPerZone);
    return members;
}

bool Membership::isReader() const
{
    return std::ranges::any_of(
        zoneReaders(m_self.m_zone), [this](const Member& reader) { return reader.m_peers == m_self.m_peers; });
}

bool Membership::isFirstReader() const
{
    return zoneReaders(m_self.m_zone).front().m_peers == m_self.m_peers;
}

bool Membership::mustReadPlatform() const
{
    return !m_hasReceivedList || isReader();
}

std::vector<Member> Membership::heartbeatTargets() const
{
    std::vector<Member> peers;
    const bool fullMesh = isFullMesh();
    for (const Member& member : m_view.m_members) {
        const bool inZone = member.m_zone == m_self.m_zone && (!usesGossip() || m_sampler.isSelected(member.m_peers));
        if (member.m_peers != m_self.m_peers && (fullMesh || inZone))
            peers.push_back(member);
    }
    if (fullMesh || !isReader())
        return peers;
    std::set<std::string_view> zones;
    for (const Member& member : m_view.m_members)
        zones.insert(member.m_zone);
    zones.erase(m_self.m_zone);
    for (const std::string_view zone : zones)
        std::ranges::move(zoneReaders(zone), std::back_inserter(peers));
    return peers;
}

std::vector<std::string> Membership::partitionedZones() const
{
    std::map<std::string_view, bool> reachable;
    for (const Member& member : m_view.m_members)
        reachable[member.m_zone] |= member.m_state != MemberState::Unreachable;
    reachable.erase(m_self.m_zone);
    std::vector<std::string> zones;
    for (const auto& [zone, isReachable] : reachable) {
        if (!isReachable)
            zones.emplace_back(zone);
    }
    return zones;
}

ConfigVersion Membership::highestPeerConfigVersion() const
{
    ConfigVersion highest;
    for (const auto& [peers, record] : m_records) {
        if (record.m_isAlive)
            highest = std::max(highest, record.m_statistics.m_configVersion);
    }
    return highest;
}

ConfigVersion Membership::lowestConfigVersionOfZone() const
{
    ConfigVersion lowest = m_ownStatistics.m_configVersion;
    for (const auto& [peers, record] : m_records) {
        if (record.m_isAlive && record.m_member.m_zone == m_self.m_zone)
            lowest = std::min(lowest, record.m_statistics.m_configVersion);
    }
    return lowest;
}

MemberStatistics Membership::statisticsOf(Endpoint peers) const
{
    if (peers == m_self.m_peers)
        return m_ownStatistics;
    const auto found = m_records.find(peers);
    return found == m_records.end() ? MemberStatistics {} : found->second.m_statistics;
}

MemberState Membership::effectiveState(const MemberRecord& record) const
{
    if (record.m_member.m_state == MemberState::Unreachable)
        return MemberState::Unreachable;
    return record.m_isListedLeaving ? MemberState::Leaving : record.m_member.m_state;
}

void Membership::rebuildView()
{
    std::vector<Member> members;
    members.reserve(m_records.size() + 1);
    members.push_back(m_self);
    for (const auto& [peers, record] : m_records) {
        members.push_back(record.m_member);
        const bool isPartitioned = m_partitionedZones.contains(record.m_member.m_zone);
        members.back().m_state = isPartitioned ? MemberState::Unreachable : effectiveState(record);
    }
    std::ranges::sort(members, {}, &Member::m_peers);
    if (members == m_view.m_members)
        return;
    std::swap(m_view.m_members, members);
    ++m_view.m_epoch;
    recordViewChanges(members);
    m_previousAddresses = std::move(m_addresses);
    m_addresses.clear();
    for (const Member& member : m_view.m_members) {
        m_addresses.insert(member.m_peers.m_address);
        m_addresses.insert(member.m_control.m_address);
    }
}

MemberState Membership::stateIgnoringPartitions(const Member& member) const
{
    const auto found = m_records.find(member.m_peers);
    return found == m_records.end() ? member.m_state : effectiveState(found->second);
}

void Membership::recordViewChanges(std::span<const Member> before)
{
    m_digest = 0;
    m_zonePeers.clear();
    for (const Member& member : m_view.m_members) {
        const auto old = std::ranges::lower_bound(before, member.m_peers, {}, &Member::m_peers);
        if (!m_partitionedZones.contains(member.m_zone) && (old == before.end() || *old != member))
            markChanged(member.m_peers);
        if (stateIgnoringPartitions(member) != MemberState::Unreachable)
            m_digest += digestOf(member, stateIgnoringPartitions(member));
        if (member.m_zone == m_self.m_zone && member.m_peers != m_self.m_peers)
            m_zonePeers.push_back(member);
    }
}

} // namespace cuminrelay
