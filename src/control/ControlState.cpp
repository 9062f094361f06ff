#include "control/ControlState.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// Limits for one heartbeat. Further members go with the next heartbeats; for reports, see ReportDissemination.
    constexpr std::size_t c_membersPerHeartbeat = 64;
    constexpr std::size_t c_forwardedReportsPerHeartbeat = 64;

    /// A zone's last contact is sent again only after it has advanced by this much.
    constexpr Duration c_zoneContactInterval = std::chrono::milliseconds { 750 };

} // namespace

ControlState::ControlState(const Member& self, std::size_t fullMeshLimit, std::uint64_t firstSequence, Instant now)
    : m_membership(self, fullMeshLimit, now)
    , m_reports(self.m_peers)
    , m_dissemination(self.m_peers)
    , m_sequence(firstSequence)
{
    m_membership.updateSelf(0, MemberState::Unreachable, {});
    recordMembershipChanges();
}

void ControlState::applyList(std::span<const Member> listed, Instant now)
{
    m_membership.applyList(listed, now);
    recordMembershipChanges();
}

void ControlState::applyOwnReports(std::span<const BackendReport> reports, Instant now)
{
    for (const BackendReport& report : reports) {
        m_reports.apply(m_membership.self().m_peers, report, now);
        m_dissemination.recordOwn(report, now);
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
    recordMembershipChanges();
}

void ControlState::entryLost(Instant)
{
    const Member before = m_membership.self();
    m_entry.m_statistics = {};
    m_membership.updateSelf(m_entry.m_incarnation, MemberState::Unreachable, {});
    m_changes.m_urgent |= before != m_membership.self();
    recordMembershipChanges();
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
        applyReport({ sender, report }, sender, now);
    for (const ForwardedReport& forwarded : heartbeat.m_forwardedReports)
        applyReport(forwarded, sender, now);
    m_changes.m_entry |= !heartbeat.m_reports.empty() || !heartbeat.m_forwardedReports.empty();
    recordMembershipChanges();
}

void ControlState::applyReport(const ForwardedReport& forwarded, Endpoint from, Instant now)
{
    if (forwarded.m_prober == m_membership.self().m_peers)
        return;
    if (m_reports.apply(forwarded.m_prober, forwarded.m_report, now) && m_membership.usesGossip())
        m_dissemination.recordForwarded(forwarded, from, now);
}

void ControlState::initializeCursor(const Heartbeat& heartbeat, PeerCursor& cursor) const
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
    recordMembershipChanges();
}

Outcome<bool> ControlState::offerConfiguration(Configuration configuration)
{
    Outcome<bool> accepted = m_configuration.offer(std::move(configuration));
    if (!accepted || !accepted.value())
        return accepted;
    std::vector<Endpoint> backends;
    for (const BackendServer& server : m_configuration.current()->m_backendServers)
        backends.push_back(server.m_tunnel);
    m_reports.retainBackends(backends);
    m_dissemination.retainBackends(backends);
    m_changes.m_entry = true;
    m_changes.m_roles = true;
    return accepted;
}

bool ControlState::startFetch(ConfigVersion offered, Instant now)
{
    if (offered <= m_configuration.version())
        return false;
    if (offered <= m_fetching && now < m_fetchDeadline)
        return false;
    m_fetching = offered;
    m_fetchDeadline = now + s_fetchTimeout;
    return true;
}

Heartbeat ControlState::heartbeatFor(std::string_view zone, PeerCursor& cursor, Instant now)
{
    const bool localZone = zone == m_membership.self().m_zone;
    Heartbeat heartbeat;
    heartbeat.m_memberHeartbeat = MemberHeartbeat { m_membership.self(), ++m_sequence, m_entry.m_statistics };
    heartbeat.m_viewDigest = m_membership.usesGossip() ? m_membership.digest() : 0;
    addReports(heartbeat, localZone, cursor);
    if (!zone.empty())
        addSummaries(heartbeat, localZone, cursor, now);
    return heartbeat;
}

void ControlState::addReports(Heartbeat& heartbeat, bool localZone, PeerCursor& cursor) const
{
    if (m_membership.isFullMesh() || (localZone && !m_membership.usesGossip())) {
        heartbeat.m_reports = m_reports.ownSince(cursor.m_reports);
        return;
    }
    if (!localZone)
        return;
    const ReportDissemination::Extent extent
        = cursor.m_accepted ? ReportDissemination::Extent::All : ReportDissemination::Extent::OwnAndHealth;
    for (const ForwardedReport& forwarded :
        m_dissemination.since(cursor.m_forwardedReports, cursor.m_peer, extent, c_forwardedReportsPerHeartbeat)) {
        if (forwarded.m_prober == m_membership.self().m_peers)
            heartbeat.m_reports.push_back(forwarded.m_report);
        else
            heartbeat.m_forwardedReports.push_back(forwarded);
    }
}

void ControlState::addSummaries(Heartbeat& heartbeat, bool localZone, PeerCursor& cursor, Instant now) const
{
    const bool fullMesh = m_membership.isFullMesh();
    const bool usesGossip = localZone && m_membership.usesGossip();
    if (!usesGossip && (!m_membership.isReader() || (!localZone && fullMesh))) {
        cursor.m_members = 0;
        return;
    }
    ZoneSummary summary { m_membership.self().m_zone,
        m_membership.changedSince(cursor.m_members, !localZone, c_membersPerHeartbeat),
        m_membership.lowestConfigVersionOfZone(), now };
    for (MemberHeartbeat& memberHeartbeat : summary.m_members) {
        if (memberHeartbeat.m_sender.m_peers == heartbeat.m_memberHeartbeat.m_sender.m_peers)
            memberHeartbeat.m_sequence = heartbeat.m_memberHeartbeat.m_sequence;
    }
    if (!summary.m_members.empty())
        heartbeat.m_summaries.push_back(std::move(summary));
    if (localZone && !fullMesh)
        addZoneContacts(heartbeat, cursor);
}

void ControlState::addZoneContacts(Heartbeat& heartbeat, PeerCursor& cursor) const
{
    for (const auto& [zone, lastContactAt] : m_membership.zoneContacts()) {
        const auto [sent, added] = cursor.m_zones.try_emplace(zone, lastContactAt);
        if (!added && lastContactAt < sent->second + c_zoneContactInterval)
            continue;
        sent->second = lastContactAt;
        heartbeat.m_summaries.push_back({ zone, {}, {}, lastContactAt });
    }
}

ControlChanges ControlState::takeChanges()
{
    return std::exchange(m_changes, ControlChanges {});
}

void ControlState::recordMembershipChanges()
{
    const MemberView& view = m_membership.view();
    m_changes.m_peers |= m_membership.selectionRevision() != m_seenSelectionRevision;
    m_seenSelectionRevision = m_membership.selectionRevision();
    if (view.m_epoch == m_seenEpoch)
        return;
    m_seenEpoch = view.m_epoch;
    std::vector<Endpoint> memberEndpoints;
    std::vector<Endpoint> reachable;
    for (const Member& member : view.m_members) {
        memberEndpoints.push_back(member.m_peers);
        if (member.m_state != MemberState::Unreachable)
            reachable.push_back(member.m_peers);
    }
    m_reports.retainProbers(memberEndpoints);
    m_reports.setReachable(reachable);
    m_changes.m_entry = true;
    m_changes.m_peers = true;
    m_changes.m_roles = true;
}

} // namespace cuminrelay
