#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Error.h"
#include "base/Time.h"
#include "members/Members.capnp.h"
#include "members/Membership.h"

#include <string>
#include <vector>

namespace cuminrelay {

/// Changes of members since the last heartbeat to the same peer: to readers of other zones, of the sender's zone;
/// within the sender's zone, of all zones. Without members: the last contact with a zone.
struct ZoneSummary {
    std::string m_zone;
    std::vector<MemberHeartbeat> m_members;
    ConfigVersion m_lowestConfigVersion; ///< in force in the sender's zone
    Instant m_lastContactAt {}; ///< last heartbeat received directly from a member of the zone; millisecond resolution

    friend bool operator==(const ZoneSummary&, const ZoneSummary&) = default;
};

/// A report measured by a member other than the heartbeat's sender.
struct ForwardedReport {
    Endpoint m_prober;
    BackendReport m_report;
};

/// A heartbeat from one control process to another.
struct Heartbeat {
    MemberHeartbeat m_memberHeartbeat;
    std::vector<BackendReport> m_reports; ///< the sender's own probe results, changed since the last heartbeat
    std::vector<ZoneSummary> m_summaries;
    std::vector<ForwardedReport> m_forwardedReports;
    std::uint64_t m_viewDigest = 0; ///< see Membership::digest()
    bool m_closing = false; ///< the sender switches to another member; missing heartbeats are no failure
};

/// Times become their age at `now`.
void writeHeartbeat(const Heartbeat& heartbeat, Instant now, wire::Heartbeat::Builder out);

/// Errors: InvalidInput for a malformed member, report or summary, or too many of them.
Outcome<Heartbeat> readHeartbeat(wire::Heartbeat::Reader in, Instant now);

} // namespace cuminrelay
