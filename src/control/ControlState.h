#pragma once

#include "base/Time.h"
#include "configuration/ConfigurationHolder.h"
#include "control/ReportCache.h"
#include "control/ReportDissemination.h"
#include "members/HeartbeatMessage.h"
#include "members/Membership.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Status reported by the entry process of this VM.
struct EntryProcessStatus {
    std::uint64_t m_incarnation = 0;
    bool m_leaving = false;
    bool m_owning = false;
    MemberStatistics m_statistics;
};

/// Recipients to notify after a change.
struct ControlChanges {
    bool m_entry = false; ///< the entry process may lack some state
    bool m_urgent = false; ///< peers need a heartbeat before the next regular one
    bool m_peers = false; ///< the heartbeat targets may have changed
    bool m_roles = false; ///< the view, the configuration or this VM's roles changed
};

/// Revisions up to which a connection has sent state to its peer.
struct PeerCursor {
    std::uint64_t m_reports = 0;
    std::uint64_t m_forwardedReports = 0;
    std::uint64_t m_members = 0;
    std::map<std::string, Instant> m_zones; ///< last contact of other zones, as last sent
    bool m_accepted = false; ///< the peer opened the connection
    Endpoint m_peer; ///< m_peers of the peer; zero until its first heartbeat
};

/// State and decisions of a control process: members, configuration, reports and the entry process of this VM. Tasks
/// pass in events and request the next messages. Independent of sockets, codecs and clocks; not thread-safe.
class ControlState {
public:
    /// Time-out of a configuration fetch, after which another peer is tried.
    static constexpr Duration s_fetchTimeout = std::chrono::seconds { 3 };

    /// firstSequence: above the sequence of all heartbeats sent by earlier control processes of this VM.
    ControlState(const Member& self, std::size_t fullMeshLimit, std::uint64_t firstSequence, Instant now);

    void applyList(std::span<const Member> listed, Instant now);
    void applyOwnReports(std::span<const BackendReport> reports, Instant now);
    void applyEntryStatus(const EntryProcessStatus& status, Instant now);

    /// Call when the entry process does not answer.
    void entryLost(Instant now);

    void applyHeartbeat(const Heartbeat& heartbeat, Instant now);

    /// Call before applyHeartbeat for each heartbeat on a connection. On the first one, skips the member states if the
    /// peer has the same set of reachable members.
    void initializeCursor(const Heartbeat& heartbeat, PeerCursor& cursor) const;
    void tick(Instant now);

    /// Applies a configuration from the platform or a peer; see ConfigurationHolder::offer.
    Outcome<bool> offerConfiguration(Configuration configuration);

    /// Whether to fetch the configuration now from a peer with this version in force. If so, no other peer is queried
    /// for the same version until fetchEnded() or s_fetchTimeout.
    bool startFetch(ConfigVersion offered, Instant now);
    void fetchEnded() { m_fetching = ConfigVersion {}; }

    /// The next heartbeat for a peer. zone: of the peer; empty until its first heartbeat.
    Heartbeat heartbeatFor(std::string_view zone, PeerCursor& cursor, Instant now);

    /// See ReportCache::takeChanged.
    std::vector<BackendReport> takeReportsForEntry(Instant now) { return m_reports.takeChanged(now); }

    /// Makes all reports due again, for a restarted entry process.
    void resendReportsToEntry() { m_reports.markAllChanged(); }

    std::vector<BackendReport> reports(Instant now) const { return m_reports.all(now); }
    Membership& membership() { return m_membership; }
    const Membership& membership() const { return m_membership; }
    const ConfigurationHolder& configuration() const { return m_configuration; }

    ControlChanges takeChanges();

private:
    void recordMembershipChanges();
    void addReports(Heartbeat& heartbeat, bool localZone, PeerCursor& cursor) const;
    void addSummaries(Heartbeat& heartbeat, bool localZone, PeerCursor& cursor, Instant now) const;
    void addZoneContacts(Heartbeat& heartbeat, PeerCursor& cursor) const;
    void applyReport(const ForwardedReport& forwarded, Endpoint from, Instant now);

    Membership m_membership;
    ConfigurationHolder m_configuration;
    ReportCache m_reports;
    ReportDissemination m_dissemination;
    ControlChanges m_changes;
    EntryProcessStatus m_entry;
    std::uint64_t m_seenEpoch = 0; ///< of the view at the last recordMembershipChanges()
    std::uint64_t m_seenSelectionRevision = 0;
    std::uint64_t m_sequence;
    ConfigVersion m_fetching;
    Deadline m_fetchDeadline {};
};

} // namespace cuminrelay
