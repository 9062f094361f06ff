#include "control/ControlHub.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr Duration c_statusInterval = std::chrono::seconds { 2 };

    /// A link without a heartbeat for this long is closed.
    constexpr Duration c_heartbeatTimeout = std::chrono::seconds { 5 };

    constexpr std::string_view c_configurationCounter = "cuminrelay_configurations_total";

} // namespace

ControlHub::ControlHub(const ControlOptions& options, const Clock& clock, kj::Timer& timer, Metrics& metrics, Log& log,
    FleetListener& listener)
    : m_options(options)
    , m_clock(clock)
    , m_timer(timer)
    , m_metrics(metrics)
    , m_log(log)
    , m_listener(listener)
    , m_state(options.m_self, options.m_fullMeshLimit, options.m_firstSequence, clock.now())
{
    dispatch();
}

kj::Promise<void> ControlHub::at(Deadline deadline)
{
    const Duration remaining = std::max(deadline - now(), Duration { 0 });
    return m_timer.afterDelay(remaining.count() * kj::MICROSECONDS);
}

void ControlHub::applyList(std::span<const Member> listed)
{
    m_state.applyList(listed, now());
    dispatch();
}

void ControlHub::applyOwnReports(std::span<const BackendReport> reports)
{
    m_state.applyOwnReports(reports, now());
    dispatch();
}

void ControlHub::applyEntryStatus(const EntryProcessStatus& status)
{
    m_state.applyEntryStatus(status, now());
    dispatch();
}

void ControlHub::entryLost()
{
    m_state.entryLost(now());
    dispatch();
}

void ControlHub::tick()
{
    m_state.tick(now());
    dispatch();
    if (now() < m_statusDueAt || !m_state.membership().isFirstReader())
        return;
    m_statusDueAt = now() + c_statusInterval;
    m_listener.statusDue(zoneStatus());
}

void ControlHub::offerConfiguration(Configuration configuration, std::string_view source)
{
    const std::uint64_t version = configuration.m_version.m_number;
    const Outcome<bool> accepted = m_state.offerConfiguration(std::move(configuration));
    if (!accepted) {
        count(c_configurationCounter, accepted.error().m_kind == ErrorKind::Stale ? "stale" : "refused");
        m_log.warning("control", "configuration_refused",
            { { "source", source }, { "version", version }, { "held", m_state.configuration().version().m_number },
                { "reason", accepted.error().m_message } });
    } else if (accepted.value()) {
        count(c_configurationCounter, source);
        m_log.info("control", "configuration_taken", { { "source", source }, { "version", version } });
    }
    dispatch();
}

Outcome<void> ControlHub::applyHeartbeat(PeerLink& link, const Heartbeat& heartbeat)
{
    const Member& sender = heartbeat.m_memberHeartbeat.m_sender;
    if (sender.m_control.m_address != link.m_address)
        return Error { ErrorKind::Unauthorized,
            "a heartbeat from " + formatAddress(link.m_address) + " has another sender address" };
    link.m_heartbeatDeadline = now() + c_heartbeatTimeout;
    link.m_zone = sender.m_zone;
    link.m_peerConfigVersion = heartbeat.m_memberHeartbeat.m_statistics.m_configVersion;
    if (link.m_accepted && link.m_control != sender.m_control) {
        linkEnded(link);
        link.m_control = sender.m_control;
        ++m_acceptedLinks[link.m_control];
    }
    m_state.initializeCursor(heartbeat, link.m_cursor);
    m_state.applyHeartbeat(heartbeat, now());
    link.m_heartbeatReceived.wake();
    dispatch();
    return boost::outcome_v2::success();
}

bool ControlHub::isAdmitted(std::uint32_t address) const
{
    const bool seed
        = std::ranges::any_of(m_options.m_seedPeers, [address](Endpoint peer) { return peer.m_address == address; });
    return address != 0 && (seed || m_state.membership().isMember(address));
}

void ControlHub::linkEnded(const PeerLink& link)
{
    const auto found = m_acceptedLinks.find(link.m_control);
    if (!link.m_accepted || found == m_acceptedLinks.end())
        return;
    --found->second;
    if (found->second > 0)
        return;
    m_acceptedLinks.erase(found);
    m_peers.wake();
}

bool ControlHub::isReachable(Endpoint control) const
{
    return std::ranges::any_of(m_state.membership().view().m_members, [control](const Member& member) {
        return member.m_control == control && member.m_state != MemberState::Unreachable;
    });
}

bool ControlHub::sendsHeartbeatsTo(Endpoint control) const
{
    const bool seed = std::ranges::find(m_options.m_seedPeers, control) != m_options.m_seedPeers.end();
    return (seed && !m_state.membership().usesGossip()) || m_state.membership().sendsHeartbeatsTo(control);
}

void ControlHub::dispatch()
{
    const ControlChanges changes = m_state.takeChanges();
    const bool isConverged = m_state.membership().isConverged(now());
    const bool hasJustConverged = isConverged && !m_isConverged;
    m_isConverged = isConverged;
    if (changes.m_entry || hasJustConverged)
        m_entryWork.wake();
    if (changes.m_urgent)
        m_urgent.wake();
    if (changes.m_peers)
        m_peers.wake();
    if (changes.m_roles || hasJustConverged)
        m_listener.fleetChanged(snapshot());
}

FleetSnapshot ControlHub::snapshot()
{
    const Membership& membership = m_state.membership();
    const bool started = m_state.configuration().version() > ConfigVersion {}
        || (m_isConverged && membership.highestPeerConfigVersion() == ConfigVersion {});
    return FleetSnapshot { membership.view(), m_state.configuration().current(), membership.mustReadPlatform(),
        m_isConverged, membership.mustReadPlatform() && started };
}

ZoneStatus ControlHub::zoneStatus()
{
    const Membership& membership = m_state.membership();
    ZoneStatus status;
    status.m_zone = membership.self().m_zone;
    status.m_reader = membership.self().m_name;
    for (const Member& member : membership.view().m_members) {
        if (member.m_zone == status.m_zone)
            status.m_members.push_back({ member, membership.statisticsOf(member.m_peers) });
    }
    for (const BackendServer& server : m_state.configuration().current()->m_backendServers) {
        for (const BackendReport& report : m_state.reports(now())) {
            if (server.m_zone == status.m_zone && report.m_backend == server.m_tunnel)
                status.m_reports.push_back(report);
        }
    }
    status.m_partitionedZones = membership.partitionedZones();
    return status;
}

} // namespace cuminrelay
