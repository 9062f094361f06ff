#pragma once

#include "backends/BackendBoard.h"
#include "base/Error.h"
#include "base/Time.h"
#include "members/Members.capnp.h"
#include "members/Membership.h"

#include <string>
#include <vector>

namespace cuminrelay {

/// What a zone reader says of members: of its own zone to readers of other zones, of all zones to its own zone.
struct ZoneSummary {
    std::string m_zone;
    std::vector<MemberBeat> m_members; ///< those that changed since the last heartbeat to the same peer
    ConfigVersion m_lowestConfigVersion; ///< in force in the sender's zone
    Instant m_heardAt {}; ///< when a member of the zone was last heard of straight, to the millisecond

    friend bool operator==(const ZoneSummary&, const ZoneSummary&) = default;
};

/// A report that another member than the sender of the heartbeat measured.
struct PassedReport {
    Endpoint m_prober;
    BackendReport m_report;
};

/// A heartbeat from one control process to another.
struct Heartbeat {
    MemberBeat m_beat;
    std::vector<BackendReport> m_reports; ///< what the sender itself probed and what changed since the last heartbeat
    std::vector<ZoneSummary> m_summaries;
    std::vector<PassedReport> m_passedReports;
    std::uint64_t m_viewDigest = 0; ///< see Membership::digest()
    bool m_closing = false; ///< the sender goes on to another member: its silence from here on means nothing
};

/// Writes a heartbeat as Cap'n Proto; the reports travel with their age at `now`.
void writeHeartbeat(const Heartbeat& heartbeat, Instant now, wire::Heartbeat::Builder out);

/// Reads a heartbeat. Errors: InvalidInput for a malformed member, report or summary.
Outcome<Heartbeat> readHeartbeat(wire::Heartbeat::Reader in, Instant now);

} // namespace cuminrelay
