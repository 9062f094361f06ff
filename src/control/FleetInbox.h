#pragma once

#include "backends/BackendStatusTable.h"
#include "configuration/Model.h"
#include "members/Member.h"

#include <vector>

namespace cuminrelay {

/// Receives the results of the platform tasks and the probe tasks.
class FleetInbox {
public:
    FleetInbox() = default;
    FleetInbox(const FleetInbox&) = delete;
    FleetInbox& operator=(const FleetInbox&) = delete;
    virtual ~FleetInbox() = default;

    /// Accepts a configuration read from the platform.
    virtual void offerConfiguration(Configuration configuration) = 0;

    /// Applies the platform's VM list.
    virtual void applyList(std::vector<Member> listed) = 0;

    /// Applies the results of this VM's probes.
    virtual void applyOwnReports(std::vector<BackendReport> reports) = 0;
};

} // namespace cuminrelay
