#pragma once

#include "backends/BackendStatusTable.h"
#include "configuration/Model.h"
#include "members/Member.h"

#include <vector>

namespace cuminrelay {

/// Takes what the tasks that talk to the platform and to backend servers find out.
class FleetInbox {
public:
    FleetInbox() = default;
    FleetInbox(const FleetInbox&) = delete;
    FleetInbox& operator=(const FleetInbox&) = delete;
    virtual ~FleetInbox() = default;

    /// A configuration that the platform holds.
    virtual void offerConfiguration(Configuration configuration) = 0;

    /// The platform's VM list.
    virtual void applyList(std::vector<Member> listed) = 0;

    /// What this VM's probes say.
    virtual void applyOwnReports(std::vector<BackendReport> reports) = 0;
};

} // namespace cuminrelay
