#include "members/Membership.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_readersOfAZone = 2;
    constexpr std::uint64_t c_readerSeed = 0x7265616465727a6f;

    std::uint64_t digestOf(const Member& member, MemberState state)
    {
        return hashPair(hashPair(member.m_peers.packed(), member.m_incarnation), static_cast<std::uint64_t>(state));
    }

} // namespace

Membership::Membership(Member self, std::size_t beatEverybodyUpTo, Instant now)
    : m_self(std::move(self))
    , m_beatEverybodyUpTo(beatEverybodyUpTo)
    , m_sampler(m_self.m_peers.packed())
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
    const bool worthTelling = known.m_suspected || known.m_figures.m_configVersion != beat.m_figures.m_configVersion
        || now >= known.m_refreshAt;
    known.m_member = beat.m_sender;
    known.m_sequence = beat.m_sequence;
    known.m_figures = beat.m_figures;
    known.m_heard = true;
    known.m_silentAt = known.m_watched ? std::max(known.m_silentAt, now + s_silence) : now + s_silence;
    known.m_watched = true;
    known.m_suspected = false;
    known.m_forgetAt = std::max(known.m_forgetAt, now + s_forget);
    if (beat.m_sender.m_zone != m_self.m_zone)
        applyZoneHeard(beat.m_sender.m_zone, now);
    if (worthTelling && passesOn()) {
        known.m_refreshAt = now + refreshInterval();
        touch(known, beat.m_sender.m_peers);
    }
    if (changed)
        rebuildView();
}

void Membership::applySummary(std::span<const MemberBeat> members, Instant now)
{
    m_informed = true;
    for (const MemberBeat& told : members) {
        const Member& member = told.m_sender;
        if (member.m_peers == m_self.m_peers)
            continue;
        const auto [found, added] = m_known.try_emplace(member.m_peers);
        if (beatsToEverybody() || (member.m_zone == m_self.m_zone && !passesOn()))
            takeExistence(found->second, member, added, now);
        else
            takeNews(found->second, told, added, now);
    }
    rebuildView();
}

void Membership::takeExistence(Known& known, const Member& told, bool isNew, Instant now)
{
    const bool reachable = told.m_state != MemberState::Unreachable;
    if (isNew || (known.m_listed && !reachable))
        known.m_forgetAt = now + s_forget;
    known.m_listed = reachable;
    if (known.m_heard)
        return;
    const MemberState state = isNew ? MemberState::Unreachable : known.m_member.m_state;
    known.m_member = told;
    known.m_member.m_state = state;
}

void Membership::takeNews(Known& known, const MemberBeat& told, bool isNew, Instant now)
{
    if (isNew) {
        known.m_member = told.m_sender;
        known.m_member.m_state = MemberState::Unreachable;
        known.m_forgetAt = now + s_forget;
    }
    if (told.m_sender.m_state == MemberState::Unreachable)
        takeUnreachable(known, told, isNew, now);
    else
        takeReachable(known, told, now);
}

void Membership::takeReachable(Known& known, const MemberBeat& told, Instant now)
{
    if (told.m_sequence < known.m_sequence || (told.m_sequence == known.m_sequence && known.m_heard))
        return;
    const bool worthTelling = known.m_suspected || known.m_figures.m_configVersion != told.m_figures.m_configVersion
        || now >= known.m_refreshAt - refreshInterval() / 2;
    known.m_member = told.m_sender;
    known.m_sequence = told.m_sequence;
    known.m_figures = told.m_figures;
    known.m_toldSequence = std::max(known.m_toldSequence, told.m_sequence);
    known.m_heard = true;
    known.m_suspected = false;
    known.m_toldGone = false;
    known.m_forgetAt = std::max(known.m_forgetAt, now + s_forget);
    if (!worthTelling || !passesOn() || told.m_sender.m_zone != m_self.m_zone)
        return;
    known.m_refreshAt = now + refreshInterval();
    touch(known, told.m_sender.m_peers);
}

void Membership::takeUnreachable(Known& known, const MemberBeat& told, bool isNew, Instant now)
{
    known.m_toldSequence = std::max(known.m_toldSequence, told.m_sequence);
    if (isNew)
        known.m_sequence = told.m_sequence;
    if (!known.m_heard)
        return;
    const bool ownZone = told.m_sender.m_zone == m_self.m_zone;
    if (!ownZone && known.m_watched) {
        known.m_toldGone = true;
        return;
    }
    if (told.m_sequence < known.m_sequence) {
        // The stored state is newer: gossip it.
        touch(known, told.m_sender.m_peers);
        return;
    }
    known.m_sequence = told.m_sequence;
    if (ownZone)
        suspect(known, now);
    else
        markGone(known, now);
}

void Membership::markGone(Known& known, Instant now)
{
    known.m_heard = false;
    known.m_watched = false;
    known.m_suspected = false;
    known.m_toldGone = false;
    known.m_member.m_state = MemberState::Unreachable;
    known.m_forgetAt = std::max(known.m_forgetAt, now + s_forget);
}

void Membership::suspect(Known& known, Instant now)
{
    if (known.m_suspected)
        return;
    known.m_suspected = true;
    known.m_confirmAt = now + s_confirm;
    touch(known, known.m_member.m_peers);
}

void Membership::applyZoneHeard(std::string_view zone, Instant heardAt)
{
    if (zone == m_self.m_zone)
        return;
    const auto [found, added] = m_zonesHeard.try_emplace(std::string { zone }, heardAt);
    found->second = std::max(found->second, heardAt);
}

void Membership::stopWatching(Endpoint peers, Instant now)
{
    const auto found = m_known.find(peers);
    if (found == m_known.end() || judgesAlone(found->second))
        return;
    // A sampled member's heartbeats continue on another connection.
    found->second.m_watched = found->second.m_watched && m_sampler.isDrawn(peers);
    found->second.m_silentAt = now + s_silence;
}

Duration Membership::refreshInterval() const
{
    return s_refreshPerMember * static_cast<std::int64_t>(m_zoneOthers.size());
}

void Membership::touch(Known& known, Endpoint peers)
{
    m_byRevision.erase(known.m_revision);
    known.m_revision = ++m_revision;
    m_byRevision.emplace(m_revision, peers);
}

void Membership::touch(Endpoint peers)
{
    if (peers != m_self.m_peers) {
        Known& known = m_known.at(peers);
        touch(known, peers);
        known.m_viewRevision = known.m_revision;
        return;
    }
    m_byRevision.erase(m_selfRevision);
    m_selfRevision = ++m_revision;
    m_byRevision.emplace(m_revision, peers);
}

std::vector<MemberBeat> Membership::changedSince(std::uint64_t& revision, bool ownZone, std::size_t limit) const
{
    const std::uint64_t since = revision;
    std::vector<MemberBeat> changed;
    for (auto entry = m_byRevision.upper_bound(revision); entry != m_byRevision.end(); ++entry) {
        if (changed.size() == limit)
            return changed;
        revision = entry->first;
        if (entry->second == m_self.m_peers) {
            changed.push_back({ m_self, 0, m_ownFigures });
            continue;
        }
        const Known& known = m_known.at(entry->second);
        if (ownZone && (known.m_member.m_zone != m_self.m_zone || known.m_viewRevision <= since))
            continue;
        changed.push_back({ known.m_member, known.m_sequence, known.m_figures });
        const bool claimed = known.m_suspected && !ownZone;
        changed.back().m_sender.m_state = claimed ? MemberState::Unreachable : effectiveState(known);
    }
    return changed;
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
            known.m_confirmAt = std::max(known.m_confirmAt, now + s_silence);
        }
        changed |= tickMember(known, now);
        if (!known.m_heard && !known.m_listed && now >= known.m_forgetAt) {
            m_byRevision.erase(known.m_revision);
            entry = m_known.erase(entry);
            changed = true;
            continue;
        }
        ++entry;
    }
    if (paused) {
        for (auto& [zone, heardAt] : m_zonesHeard)
            heardAt = now;
    }
    changed |= updateCutZones(now);
    if (changed)
        rebuildView();
    drawPeers(now);
}

bool Membership::judgesAlone(const Known& known) const
{
    return beatsToEverybody() || (known.m_member.m_zone == m_self.m_zone && !passesOn());
}

bool Membership::tickMember(Known& known, Instant now)
{
    if (judgesAlone(known) && known.m_heard && !known.m_watched) {
        // Reported only by others so far: allow time for a direct heartbeat.
        known.m_watched = true;
        known.m_silentAt = now + 2 * s_silence;
    }
    const bool silent = known.m_heard && known.m_watched && now >= known.m_silentAt;
    if (silent && !judgesAlone(known)) {
        known.m_watched = false;
        if (known.m_member.m_zone == m_self.m_zone)
            suspect(known, now);
        else
            known.m_sequence = known.m_toldSequence;
    }
    const bool confirmed = known.m_suspected && now >= known.m_confirmAt;
    const bool gone = judgesAlone(known) ? silent : known.m_heard && (confirmed || (silent && known.m_toldGone));
    if (gone)
        markGone(known, now);
    return gone;
}

bool Membership::updateCutZones(Instant now)
{
    std::set<std::string, std::less<>> cut;
    for (const Member& member : m_view.m_members) {
        if (member.m_zone == m_self.m_zone || beatsToEverybody())
            continue;
        const Instant heardAt = m_zonesHeard.try_emplace(member.m_zone, now).first->second;
        if (now - heardAt >= s_zoneSilence)
            cut.insert(member.m_zone);
    }
    const bool changed = cut != m_cutZones;
    m_cutZones = std::move(cut);
    return changed;
}

void Membership::drawPeers(Instant now)
{
    if (!passesOn()) {
        m_sampler.clear();
        return;
    }
    for (const Endpoint peers : m_sampler.refresh(m_zoneOthers, now)) {
        Known& known = m_known.at(peers);
        if (known.m_watched || !known.m_heard)
            continue;
        known.m_watched = true;
        known.m_silentAt = now + s_silence;
    }
}

bool Membership::beatsTo(Endpoint control) const
{
    const std::vector<Member> peers = peersToBeat();
    return std::ranges::find(peers, control, &Member::m_control) != peers.end();
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
        const bool inZone = member.m_zone == m_self.m_zone && (!passesOn() || m_sampler.isDrawn(member.m_peers));
        if (member.m_peers != m_self.m_peers && (everybody || inZone))
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

MemberState Membership::effectiveState(const Known& known) const
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
        const bool cutOff = m_cutZones.contains(known.m_member.m_zone);
        members.back().m_state = cutOff ? MemberState::Unreachable : effectiveState(known);
    }
    std::ranges::sort(members, {}, &Member::m_peers);
    if (members == m_view.m_members)
        return;
    std::swap(m_view.m_members, members);
    ++m_view.m_epoch;
    noteViewChanges(members);
    m_previousAddresses = std::move(m_addresses);
    m_addresses.clear();
    for (const Member& member : m_view.m_members) {
        m_addresses.insert(member.m_peers.m_address);
        m_addresses.insert(member.m_control.m_address);
    }
}

MemberState Membership::stateWithoutCuts(const Member& member) const
{
    const auto found = m_known.find(member.m_peers);
    return found == m_known.end() ? member.m_state : effectiveState(found->second);
}

void Membership::noteViewChanges(std::span<const Member> before)
{
    m_digest = 0;
    m_zoneOthers.clear();
    for (const Member& member : m_view.m_members) {
        const auto old = std::ranges::lower_bound(before, member.m_peers, {}, &Member::m_peers);
        if (!m_cutZones.contains(member.m_zone) && (old == before.end() || *old != member))
            touch(member.m_peers);
        if (stateWithoutCuts(member) != MemberState::Unreachable)
            m_digest += digestOf(member, stateWithoutCuts(member));
        if (member.m_zone == m_self.m_zone && member.m_peers != m_self.m_peers)
            m_zoneOthers.push_back(member);
    }
}

} // namespace cuminrelay
