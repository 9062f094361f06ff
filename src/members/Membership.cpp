#include "members/Membership.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_readersOfAZone = 2;
    constexpr std::uint64_t c_readerSeed = 0x7265616465727a6f;

} // namespace

Membership::Membership(Member self, std::size_t beatEverybodyUpTo, Instant now)
    : m_self(std::move(self))
    , m_beatEverybodyUpTo(beatEverybodyUpTo)
    , m_lastTick(now)
    , m_settledAt(now + s_settle)
{
    rebuildView();
}

void Membership::updateSelf(std::uint64_t incarnation, MemberState state, const MemberFigures& figures)
{
    m_ownFigures = figures;
    m_self.m_incarnation = incarnation;
    m_entryState = state;
    refreshSelf();
    rebuildView();
}

void Membership::refreshSelf()
{
    const bool leaving = m_selfListedLeaving && m_entryState != MemberState::Unreachable;
    m_self.m_state = leaving ? MemberState::Leaving : m_entryState;
}

void Membership::applyList(std::span<const Member> listed, Instant now)
{
    m_informed = true;
    m_listSeen = true;
    for (auto& [peers, known] : m_known) {
        if (known.m_listed)
            known.m_forgetAt = now + s_forget;
        known.m_listed = false;
        known.m_listedLeaving = false;
    }
    m_selfListedLeaving = false;
    for (const Member& member : listed) {
        const bool leaving = member.m_state == MemberState::Leaving;
        if (member.m_peers == m_self.m_peers) {
            m_selfListedLeaving = leaving;
            continue;
        }
        const auto [found, added] = m_known.try_emplace(member.m_peers);
        Known& known = found->second;
        if (!known.m_heard) {
            const std::uint64_t incarnation = known.m_member.m_incarnation;
            const MemberState state = added ? MemberState::Unreachable : known.m_member.m_state;
            known.m_member = member;
            known.m_member.m_incarnation = incarnation;
            known.m_member.m_state = state;
        }
        known.m_listed = true;
        known.m_listedLeaving = leaving;
    }
    refreshSelf();
    rebuildView();
}

void Membership::applyBeat(const MemberBeat& beat, Instant now)
{
    if (beat.m_sender.m_peers == m_self.m_peers)
        return;
    m_informed = true;
    Known& known = m_known[beat.m_sender.m_peers];
    if (known.m_heard && beat.m_sequence < known.m_sequence)
        return;
    const bool changed = !known.m_heard || known.m_member != beat.m_sender;
    known.m_member = beat.m_sender;
    known.m_sequence = beat.m_sequence;
    known.m_figures = beat.m_figures;
    known.m_heard = true;
    known.m_silentAt = std::max(known.m_silentAt, now + s_silence);
    known.m_forgetAt = std::max(known.m_forgetAt, now + s_forget);
    if (changed)
        rebuildView();
}

void Membership::applySummary(std::span<const Member> members, Instant now)
{
    m_informed = true;
    for (const Member& member : members) {
        if (member.m_peers == m_self.m_peers)
            continue;
        const auto [found, added] = m_known.try_emplace(member.m_peers);
        Known& known = found->second;
        const bool reachable = member.m_state != MemberState::Unreachable;
        if (added || (known.m_listed && !reachable))
            known.m_forgetAt = now + s_forget;
        known.m_listed = reachable;
        if (known.m_heard)
            continue;
        const bool takeState = !beatsToEverybody() && member.m_zone != m_self.m_zone;
        const MemberState state = added ? MemberState::Unreachable : known.m_member.m_state;
        known.m_member = member;
        known.m_member.m_state = takeState ? member.m_state : state;
    }
    rebuildView();
}

void Membership::tick(Instant now)
{
    const bool paused = now - m_lastTick > s_ownPause;
    m_lastTick = now;
    bool changed = false;
    for (auto entry = m_known.begin(); entry != m_known.end();) {
        Known& known = entry->second;
        if (paused) {
            known.m_silentAt = std::max(known.m_silentAt, now + s_silence);
            known.m_forgetAt = std::max(known.m_forgetAt, now + s_silence);
        }
        if (known.m_heard && now >= known.m_silentAt) {
            known.m_heard = false;
            known.m_member.m_state = MemberState::Unreachable;
            changed = true;
        }
        if (!known.m_heard && !known.m_listed && now >= known.m_forgetAt) {
            entry = m_known.erase(entry);
            changed = true;
            continue;
        }
        ++entry;
    }
    if (changed)
        rebuildView();
}

bool Membership::settled(Instant now)
{
    if (m_settled)
        return true;
    if (!m_informed)
        return false;
    bool everybodyHeard = m_listSeen;
    for (const auto& [peers, known] : m_known)
        everybodyHeard = everybodyHeard && known.m_heard;
    m_settled = everybodyHeard || now >= m_settledAt;
    return m_settled;
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
        const bool leftLives = left.m_state != MemberState::Unreachable;
        const bool rightLives = right.m_state != MemberState::Unreachable;
        if (leftLives != rightLives)
            return leftLives;
        return hashPair(zoneHash, left.m_peers.packed()) > hashPair(zoneHash, right.m_peers.packed());
    });
    return members;
}

std::vector<Member> Membership::zoneReaders(std::string_view zone) const
{
    std::vector<Member> members = rankedMembers(zone);
    if (members.size() > c_readersOfAZone)
        members.resize(c_readersOfAZone);
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
    return !m_listSeen || isReader();
}

std::vector<Member> Membership::peersToBeat() const
{
    std::vector<Member> peers;
    const bool everybody = beatsToEverybody();
    for (const Member& member : m_view.m_members) {
        if (member.m_peers != m_self.m_peers && (everybody || member.m_zone == m_self.m_zone))
            peers.push_back(member);
    }
    if (everybody || !isReader())
        return peers;
    std::set<std::string_view> zones;
    for (const Member& member : m_view.m_members)
        zones.insert(member.m_zone);
    zones.erase(m_self.m_zone);
    for (const std::string_view zone : zones)
        std::ranges::move(zoneReaders(zone), std::back_inserter(peers));
    return peers;
}

std::vector<std::string> Membership::cutOffZones() const
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

ConfigVersion Membership::highestConfigVersionHeard() const
{
    ConfigVersion highest;
    for (const auto& [peers, known] : m_known) {
        if (known.m_heard)
            highest = std::max(highest, known.m_figures.m_configVersion);
    }
    return highest;
}

ConfigVersion Membership::lowestConfigVersionOfZone() const
{
    ConfigVersion lowest = m_ownFigures.m_configVersion;
    for (const auto& [peers, known] : m_known) {
        if (known.m_heard && known.m_member.m_zone == m_self.m_zone)
            lowest = std::min(lowest, known.m_figures.m_configVersion);
    }
    return lowest;
}

MemberFigures Membership::figuresOf(Endpoint peers) const
{
    if (peers == m_self.m_peers)
        return m_ownFigures;
    const auto found = m_known.find(peers);
    return found == m_known.end() ? MemberFigures {} : found->second.m_figures;
}

MemberState Membership::effectiveState(const Known& known)
{
    if (known.m_member.m_state == MemberState::Unreachable)
        return MemberState::Unreachable;
    return known.m_listedLeaving ? MemberState::Leaving : known.m_member.m_state;
}

void Membership::rebuildView()
{
    std::vector<Member> members;
    members.reserve(m_known.size() + 1);
    members.push_back(m_self);
    for (const auto& [peers, known] : m_known) {
        members.push_back(known.m_member);
        members.back().m_state = effectiveState(known);
    }
    std::ranges::sort(members, {}, &Member::m_peers);
    if (members == m_view.m_members)
        return;
    m_view.m_members = std::move(members);
    ++m_view.m_epoch;
    m_previousAddresses = std::move(m_addresses);
    m_addresses.clear();
    for (const Member& member : m_view.m_members) {
        m_addresses.insert(member.m_peers.m_address);
        m_addresses.insert(member.m_control.m_address);
    }
}

} // namespace cuminrelay
