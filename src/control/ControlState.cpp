#include "control/ControlState.h"

#include <algorithm>

namespace cuminrelay {

ControlState::ControlState(const Member& self, std::size_t beatEverybodyUpTo, std::uint64_t firstSequence, Instant now)
    : m_membership(self, beatEverybodyUpTo, now)
    , m_reports(self.m_peers)
    , m_sequence(firstSequence)
{
    m_membership.updateSelf(0, MemberState::Unreachable, {});
    noteMembership();
}

void ControlState::applyList(std::span<const Member> listed, Instant now)
{
    m_membership.applyList(listed, now);
    noteMembership();
}

void ControlState::applyOwnReports(std::span<const BackendReport> reports, Instant now)
{
    for (const BackendReport& report : reports)
        m_reports.apply(m_membership.self().m_peers, report, now);
    m_changes.m_entry = true;
}

void ControlState::applyEntryStatus(const EntryProcessStatus& status, Instant)
{
    const Member before = m_membership.self();
    const ConfigVersion versionBefore = m_entry.m_figures.m_configVersion;
    m_entry = status;
    const MemberState running = status.m_owning ? MemberState::Active : MemberState::Joining;
    m_membership.updateSelf(status.m_incarnation, status.m_leaving ? MemberState::Leaving : running, status.m_figures);
    m_changes.m_urgent |= before != m_membership.self() || versionBefore != status.m_figures.m_configVersion;
    noteMembership();
}

void ControlState::entryLost(Instant)
{
    const Member before = m_membership.self();
    m_entry.m_figures = {};
    m_membership.updateSelf(m_entry.m_incarnation, MemberState::Unreachable, {});
    m_changes.m_urgent |= before != m_membership.self();
    noteMembership();
}

void ControlState::applyHeartbeat(const Heartbeat& heartbeat, Instant now)
{
    m_membership.applyBeat(heartbeat.m_beat, now);
    for (const ZoneSummary& summary : heartbeat.m_summaries)
        m_membership.applySummary(summary.m_members, now);
    for (const BackendReport& report : heartbeat.m_reports)
        m_reports.apply(heartbeat.m_beat.m_sender.m_peers, report, now);
    m_changes.m_entry |= !heartbeat.m_reports.empty();
    noteMembership();
}

void ControlState::tick(Instant now)
{
    m_membership.tick(now);
    noteMembership();
}

Outcome<bool> ControlState::offerConfiguration(Configuration configuration)
{
    Outcome<bool> taken = m_configuration.offer(std::move(configuration));
    if (!taken || !taken.value())
        return taken;
    std::vector<Endpoint> backends;
    for (const BackendServer& server : m_configuration.current()->m_backendServers)
        backends.push_back(server.m_tunnel);
    m_reports.retainBackends(backends);
    m_changes.m_entry = true;
    m_changes.m_roles = true;
    return taken;
}

bool ControlState::startFetch(ConfigVersion offered, Instant now)
{
    if (offered <= m_configuration.version())
        return false;
    if (offered <= m_fetching && now < m_fetchGivenUpAt)
        return false;
    m_fetching = offered;
    m_fetchGivenUpAt = now + s_fetchPatience;
    return true;
}

Heartbeat ControlState::heartbeatFor(std::string_view zone, PeerCursor& cursor, Instant)
{
    Heartbeat heartbeat;
    heartbeat.m_beat = MemberBeat { m_membership.self(), ++m_sequence, m_entry.m_figures };
    heartbeat.m_reports = m_reports.ownSince(cursor.m_reports);
    addSummaries(heartbeat, zone, cursor);
    return heartbeat;
}

void ControlState::addSummaries(Heartbeat& heartbeat, std::string_view zone, PeerCursor& cursor) const
{
    const bool ownZone = zone == m_membership.self().m_zone;
    const bool readerOfOtherZone = !ownZone && !m_membership.beatsToEverybody();
    if (!m_membership.isReader() || zone.empty() || (!ownZone && !readerOfOtherZone)) {
        cursor.m_members = 0;
        return;
    }
    ZoneSummary summary { m_membership.self().m_zone, {}, m_membership.lowestConfigVersionOfZone() };
    for (const Member& member : m_membership.view().m_members) {
        const bool wanted = ownZone || member.m_zone == m_membership.self().m_zone;
        if (wanted && m_memberRevisions.at(member.m_peers) > cursor.m_members)
            summary.m_members.push_back(member);
    }
    cursor.m_members = m_revision;
    if (!summary.m_members.empty())
        heartbeat.m_summaries.push_back(std::move(summary));
}

ControlChanges ControlState::takeChanges()
{
    return std::exchange(m_changes, ControlChanges {});
}

void ControlState::noteMembership()
{
    const MemberView& view = m_membership.view();
    if (view.m_epoch == m_seenEpoch)
        return;
    m_seenEpoch = view.m_epoch;
    ++m_revision;
    std::map<Endpoint, std::uint64_t> revisions;
    std::vector<Endpoint> reachable;
    for (const Member& member : view.m_members) {
        const bool unchanged = std::ranges::binary_search(m_seenMembers, member.m_peers, {}, &Member::m_peers)
            && *std::ranges::lower_bound(m_seenMembers, member.m_peers, {}, &Member::m_peers) == member;
        revisions[member.m_peers] = unchanged ? m_memberRevisions[member.m_peers] : m_revision;
        if (member.m_state != MemberState::Unreachable)
            reachable.push_back(member.m_peers);
    }
    m_memberRevisions = std::move(revisions);
    m_seenMembers = view.m_members;
    m_reports.retainProbers(reachable);
    m_changes.m_entry = true;
    m_changes.m_peers = true;
    m_changes.m_roles = true;
}

} // namespace cuminrelay
