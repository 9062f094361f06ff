#pragma once

#include "base/Time.h"
#include "configuration/ConfigurationHolder.h"
#include "control/ReportBook.h"
#include "control/ReportSpread.h"
#include "members/HeartbeatMessage.h"
#include "members/Membership.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// What the own entry process said of itself.
struct EntryProcessStatus {
    std::uint64_t m_incarnation = 0;
    bool m_leaving = false;
    bool m_owning = false;
    MemberStatistics m_statistics;
};

/// Who has to hear of what changed.
struct ControlChanges {
    bool m_entry = false; ///< there may be something to install in the entry process
    bool m_urgent = false; ///< peers should be told before the next regular heartbeat
    bool m_peers = false; ///< whom to beat to may have changed
    bool m_roles = false; ///< the view, the configuration or this VM's part in the fleet changed
};

/// How much of what there is to tell a peer has been told on its connection.
struct PeerCursor {
    std::uint64_t m_reports = 0;
    std::uint64_t m_forwardedReports = 0;
    std::uint64_t m_members = 0;
    std::map<std::string, Instant> m_zones; ///< when other zones were heard of, as told last
    bool m_accepted = false; ///< the peer opened the connection
    Endpoint m_peer; ///< m_peers of the peer; zero until its first heartbeat
};

/// Everything that a control process knows and what it makes of it: members, configuration, reports, its own entry
/// process. Tasks feed it and ask it what to say next; it knows no socket, codec or clock. One thread at a time.
class ControlState {
public:
    /// After this time, a fetch of a configuration that did not end is given up and another peer is asked.
    static constexpr Duration s_fetchPatience = std::chrono::seconds { 3 };

    /// firstSequence: above the sequence of all heartbeats that earlier control processes of this VM sent.
    ControlState(const Member& self, std::size_t fullMeshLimit, std::uint64_t firstSequence, Instant now);

    void applyList(std::span<const Member> listed, Instant now);
    void applyOwnReports(std::span<const BackendReport> reports, Instant now);
    void applyEntryStatus(const EntryProcessStatus& status, Instant now);

    /// The entry process does not answer.
    void entryLost(Instant now);

    void applyHeartbeat(const Heartbeat& heartbeat, Instant now);

    /// Call before applyHeartbeat for each heartbeat on a connection: a new connection need not tell a peer that takes
    /// the same members for reachable of each of them.
    void greet(const Heartbeat& heartbeat, PeerCursor& cursor) const;
    void tick(Instant now);

    /// Takes a configuration from the platform or a peer; see ConfigurationHolder::offer.
    Outcome<bool> offerConfiguration(Configuration configuration);

    /// Whether to ask a peer that has this version in force for its configuration, now. If so, nobody else is asked for
    /// the same until fetchEnded() or the patience ends.
    bool startFetch(ConfigVersion offered, Instant now);
    void fetchEnded() { m_fetching = ConfigVersion {}; }

    /// The next heartbeat for a peer of the zone; empty when the zone is not known.
    Heartbeat heartbeatFor(std::string_view zone, PeerCursor& cursor, Instant now);

    /// The merged reports that the entry process does not have yet.
    std::vector<BackendReport> takeReportsForEntry(Instant now) { return m_reports.takeChanged(now); }

    /// A new entry process knows no reports.
    void forgetEntryReports() { m_reports.markAllChanged(); }

    std::vector<BackendReport> reports(Instant now) const { return m_reports.all(now); }
    Membership& membership() { return m_membership; }
    const Membership& membership() const { return m_membership; }
    const ConfigurationHolder& configuration() const { return m_configuration; }

    ControlChanges takeChanges();

private:
    void noteMembership();
    void addReports(Heartbeat& heartbeat, bool ownZone, PeerCursor& cursor) const;
    void addSummaries(Heartbeat& heartbeat, bool ownZone, PeerCursor& cursor, Instant now) const;
    void addZonesHeard(Heartbeat& heartbeat, PeerCursor& cursor) const;
    void takeReport(const ForwardedReport& passed, Endpoint from, Instant now);

    Membership m_membership;
    ConfigurationHolder m_configuration;
    ReportBook m_reports;
    ReportSpread m_spread;
    ControlChanges m_changes;
    EntryProcessStatus m_entry;
    std::uint64_t m_seenEpoch = 0; ///< of the view at the last noteMembership()
    std::uint64_t m_seenDraw = 0;
    std::uint64_t m_sequence;
    ConfigVersion m_fetching;
    Deadline m_fetchGivenUpAt {};
};

} // namespace cuminrelay
