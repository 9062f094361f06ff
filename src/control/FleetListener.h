#pragma once

#include "backends/BackendStatusTable.h"
#include "configuration/ConfigurationHolder.h"
#include "members/Membership.h"

#include <string>
#include <vector>

namespace cuminrelay {

/// Fleet state and roles of this VM, for the platform tasks and the probe tasks.
struct FleetSnapshot {
    MemberView m_view;
    SharedConfiguration m_configuration; ///< never null
    bool m_readsPlatform = false;
    bool m_isConverged = false; ///< decisions may use the view

    /// Whether to watch the platform's configuration. A starting process first fetches it from its peers, which also
    /// hold earlier versions, and watches at once only if no peer has one.
    bool m_watchesConfiguration = false;
};

/// Status of a zone, which its first reader writes to the platform.
struct ZoneStatus {
    /// A member with its reported statistics.
    struct MemberStatus {
        Member m_member;
        MemberStatistics m_statistics;
    };

    std::string m_zone;
    std::string m_reader;
    std::vector<MemberStatus> m_members;
    std::vector<BackendReport> m_reports;
    std::vector<std::string> m_partitionedZones;
};

/// Receives events of the RPC thread. Called on that thread; implementations must only post.
class FleetListener {
public:
    FleetListener() = default;
    FleetListener(const FleetListener&) = delete;
    FleetListener& operator=(const FleetListener&) = delete;
    virtual ~FleetListener() = default;

    virtual void fleetChanged(FleetSnapshot snapshot) = 0;

    /// Called every status interval on the first reader of the zone.
    virtual void statusDue(ZoneStatus status) = 0;

    /// A connection from an unknown address was refused; the VM list may have changed.
    virtual void unknownPeerConnected() = 0;
};

} // namespace cuminrelay
