#pragma once

#include "backends/BackendStatusTable.h"
#include "configuration/ConfigurationHolder.h"
#include "members/Membership.h"

#include <string>
#include <vector>

namespace cuminrelay {

/// This VM's part in the fleet, for the tasks that talk to the platform and to backend servers.
struct FleetSnapshot {
    MemberView m_view;
    SharedConfiguration m_configuration; ///< never null
    bool m_readsPlatform = false;
    bool m_isConverged = false; ///< the view may be acted on

    /// A process that starts takes the configuration from its peers, which hold the versions before the current one
    /// too, and from the platform only when they have none.
    bool m_watchesConfiguration = false;
};

/// What the first reader of a zone writes to the platform.
struct ZoneStatus {
    /// A member with what it said of itself.
    struct MemberStatus {
        Member m_member;
        MemberStatistics m_statistics;
    };

    std::string m_zone;
    std::string m_reader;
    std::vector<MemberStatus> m_members;
    std::vector<BackendReport> m_reports;
    std::vector<std::string> m_cutOffZones;
};

/// Takes what the RPC thread finds out; called on that thread, and must only post.
class FleetListener {
public:
    FleetListener() = default;
    FleetListener(const FleetListener&) = delete;
    FleetListener& operator=(const FleetListener&) = delete;
    virtual ~FleetListener() = default;

    virtual void fleetChanged(FleetSnapshot snapshot) = 0;

    /// Called every status interval on the first reader of the zone.
    virtual void statusDue(ZoneStatus status) = 0;

    /// Somebody called who is not known; the VM list may have news.
    virtual void strangerCalled() = 0;
};

} // namespace cuminrelay
