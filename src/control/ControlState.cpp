#include "control/ControlState.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// Limits for one heartbeat; further entries go with the next heartbeats.
    constexpr std::size_t c_membersInHeartbeat = 64;
    constexpr std::size_t c_passedReportsInHeartbeat = 64;

    /// A zone's last contact is sent again only after it has advanced by this much.
    constexpr Duration c_zoneToldAgain = std::chrono::milliseconds { 750 };

} // namespace

ControlState::ControlState(const Member& self, std::size_t fullMeshLimit, std::uint64_t firstSequence, Instant now)
    : m_membership(self, fullMeshLimit, now)
    , m_reports(self.m_peers)
    , m_spread(self.m_peers)
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
    for (const BackendReport& report : reports) {
        m_reports.apply(m_membership.self().m_peers, report, now);
        m_spread.offerOwn(report, now);
    }
    m_changes.m_entry = true;
}

void ControlState::applyEntryStatus(const EntryProcessStatus& status, Instant)
{
    const Member before = m_membership.self();
    const ConfigVersion versionBefore = m_entry.m_statistics.m_configVersion;
    m_entry = status;
    const MemberState running = status.m_owning ? MemberState::Active : MemberState::Joining;
    m_membership.updateSelf(
        status.m_incarnation, status.m_leaving ? MemberState::Leaving : running, status.m_statistics);
    m_changes.m_urgent |= before != m_membership.self() || versionBefore != status.m_statistics.m_configVersion;
    noteMembership();
}

void ControlState::entryLost(Instant)
{
    const Member before = m_membership.self();
    m_entry.m_statistics = {};
    m_membership.updateSelf(m_entry.m_incarnation, MemberState::Unreachable, {});
    m_changes.m_urgent |= before != m_membership.self();
    noteMembership();
}

void ControlState::applyHeartbeat(const Heartbeat& heartbeat, Instant now)
{
    const Endpoint sender = heartbeat.m_memberHeartbeat.m_sender.m_peers;
    m_membership.applyMemberHeartbeat(heartbeat.m_memberHeartbeat, now);
    if (heartbeat.m_closing)
        m_membership.stopMonitoring(sender, now);
    for (const ZoneSummary& summary : heartbeat.m_summaries) {
        m_membership.applySummary(summary.m_members, now);
        m_membership.applyZoneContact(summary.m_zone, std::min(summary.m_lastContactAt, now));
    }
    for (const BackendReport& report : heartbeat.m_reports)
        takeReport({ sender, report }, sender, now);
    for (const ForwardedReport& passed : heartbeat.m_forwardedReports)
        takeReport(passed, sender, now);
    m_changes.m_entry |= !heartbeat.m_reports.empty() || !heartbeat.m_forwardedReports.empty();
    noteMembership();
}

void ControlState::takeReport(const ForwardedReport& passed, Endpoint from, Instant now)
{
    if (passed.m_prober == m_membership.self().m_peers)
        return;
    if (m_reports.apply(passed.m_prober, passed.m_report, now) && m_membership.usesGossip())
        m_spread.pass(passed, from, now);
}

void ControlState::greet(const Heartbeat& heartbeat, PeerCursor& cursor) const
{
    const bool first = cursor.m_peer == Endpoint {};
    cursor.m_peer = heartbeat.m_memberHeartbeat.m_sender.m_peers;
    const bool sameZone = heartbeat.m_memberHeartbeat.m_sender.m_zone == m_membership.self().m_zone;
    if (first && sameZone && m_membership.usesGossip() && heartbeat.m_viewDigest == m_membership.digest())
        cursor.m_members = m_membership.revision();
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
    m_spread.retainBackends(backends);
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

Heartbeat ControlState::heartbeatFor(std::string_view zone, PeerCursor& cursor, Instant now)
{
    const bool ownZone = zone == m_membership.self().m_zone;
    Heartbeat heartbeat;
    heartbeat.m_memberHeartbeat = MemberHeartbeat { m_membership.self(), ++m_sequence, m_entry.m_statistics };
    heartbeat.m_viewDigest = m_membership.usesGossip() ? m_membership.digest() : 0;
    addReports(heartbeat, ownZone, cursor);
    if (!zone.empty())
        addSummaries(heartbeat, ownZone, cursor, now);
    return heartbeat;
}

void ControlState::addReports(Heartbeat& heartbeat, bool ownZone, PeerCursor& cursor) const
{
    if (m_membership.isFullMesh() || (ownZone && !m_membership.usesGossip())) {
        heartbeat.m_reports = m_reports.ownSince(cursor.m_reports);
        return;
    }
    if (!ownZone)
        return;
    const ReportSpread::Extent extent
        = cursor.m_accepted ? ReportSpread::Extent::All : ReportSpread::Extent::OwnAndHealth;
    for (const ForwardedReport& passed :
        m_spread.since(cursor.m_forwardedReports, cursor.m_peer, extent, c_passedReportsInHeartbeat)) {
        if (passed.m_prober == m_membership.self().m_peers)
            heartbeat.m_reports.push_back(passed.m_report);
        else
            heartbeat.m_forwardedReports.push_back(passed);
    }
}

void ControlState::addSummaries(Heartbeat& heartbeat, bool ownZone, PeerCursor& cursor, Instant now) const
{
    const bool everybody = m_membership.isFullMesh();
    const bool usesGossip = ownZone && m_membership.usesGossip();
    if (!usesGossip && (!m_membership.isReader() || (!ownZone && everybody))) {
        cursor.m_members = 0;
        return;
    }
    ZoneSummary summary { m_membership.self().m_zone,
        m_membership.changedSince(cursor.m_members, !ownZone, c_membersInHeartbeat),
        m_membership.lowestConfigVersionOfZone(), now };
    for (MemberHeartbeat& news : summary.m_members) {
        if (news.m_sender.m_peers == heartbeat.m_memberHeartbeat.m_sender.m_peers)
            news.m_sequence = heartbeat.m_memberHeartbeat.m_sequence;
    }
    if (!summary.m_members.empty())
        heartbeat.m_summaries.push_back(std::move(summary));
    if (ownZone && !everybody)
        addZonesHeard(heartbeat, cursor);
}

void ControlState::addZonesHeard(Heartbeat& heartbeat, PeerCursor& cursor) const
{
    for (const auto& [zone, lastContactAt] : m_membership.zoneContacts()) {
        const auto [told, added] = cursor.m_zones.try_emplace(zone, lastContactAt);
        if (!added && lastContactAt < told->second + c_zoneToldAgain)
            continue;
        told->second = lastContactAt;
        heartbeat.m_summaries.push_back({ zone, {}, {}, lastContactAt });
    }
}

ControlChanges ControlState::takeChanges()
{
    return std::exchange(m_changes, ControlChanges {});
}

void ControlState::noteMembership()
{
    const MemberView& view = m_membership.view();
    m_changes.m_peers |= m_membership.selectionRevision() != m_seenDraw;
    m_seenDraw = m_membership.selectionRevision();
    if (view.m_epoch == m_seenEpoch)
        return;
    m_seenEpoch = view.m_epoch;
    std::vector<Endpoint> known;
    std::vector<Endpoint> reachable;
    for (const Member& member : view.m_members) {
        known.push_back(member.m_peers);
        if (member.m_state != MemberState::Unreachable)
            reachable.push_back(member.m_peers);
    }
    m_reports.retainProbers(known);
    m_reports.setReachable(reachable);
    m_changes.m_entry = true;
    m_changes.m_peers = true;
    m_changes.m_roles = true;
}

} // namespace cuminrelay
