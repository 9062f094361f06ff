#pragma once

#include "backends/BackendStatusTable.h"
#include "backends/RecentActivity.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cuminrelay {

/// Slot time per flow of a service, estimated from reports by Little's law: mean busy slots divided by flows completed
/// per second. The mean includes flows that occupy no slot and stragglers that occupy one for long, so that slots
/// divided by slot time is the rate of flows that the service can process. Old samples decay.
class SlotTimeEstimate {
public:
    /// Adds the interval between two reports.
    void add(Duration interval, double meanBusySlots, double completedFlows);

    /// Returns the slot seconds per flow; 0 until enough flows have completed.
    double seconds() const;

private:
    double m_busySeconds = 0;
    double m_completedFlows = 0;
};

/// Estimated flows of a service that occupy a slot or wait for one. Between reports, admitted flows are added and
/// completed flows are subtracted at the service's rate. Never below zero, so that idle time earns no credit.
class BacklogEstimate {
public:
    void add(double flows, double flowsPerSecond, Instant now);

    /// Restarts from a report.
    void reset(double flows, Instant measuredAt);

    /// Returns the flows, given the service's rate.
    double at(double flowsPerSecond, Instant now) const;

private:
    double m_flows = 0;
    Instant m_updatedAt {};
};

/// Sum of the reports of a service's backend servers that are eligible or at their connection limit. A backend server
/// without a fresh report counts as the mean of the others.
struct ReportedLoad {
    std::size_t m_backends = 0; ///< with or without a fresh report
    double m_slots = 0;
    double m_busySlots = 0;
    double m_backlog = 0; ///< flows that occupy a slot or wait for one
    Instant m_measuredAt {}; ///< mean over the fresh reports; epoch without any
};

ReportedLoad sumReports(std::span<const Endpoint> candidates, const BackendStatusTable& backendStatuses, Instant now);

/// Load of one service between reports, estimated by one entry VM from the flows that it admits itself, scaled to all
/// entry VMs. The estimate covers the complete service, because a VM places most flows in its local zone and sees few
/// of the flows that other VMs place elsewhere.
class ServiceLoadEstimate {
public:
    /// Applies newer reports. scale: the inverse of this VM's share of the service's flows.
    void update(const ReportedLoad& reported, double scale);

    void recordAdmitted(double scale, Instant now);

    /// Returns the seconds that a new flow would wait for a slot; nullopt without a slot time.
    std::optional<double> expectedWait(Instant now) const;

    /// Returns this wait at the newest reports.
    std::optional<double> reportedWait() const;

    /// Returns the seconds in which a busy backend server completes one flow; 0 without a slot time.
    double slotSecondsPerBackend() const;

    /// Returns the seconds in which the busy service completes one flow; 0 without a slot time.
    double secondsPerFlow() const;

private:
    void updateSlotTime(const ReportedLoad& newer, double scale);
    void resetBacklog(double scale);
    std::optional<double> flowsPerSecond() const;

    RecentActivity m_admitted;
    SlotTimeEstimate m_slotTime;
    BacklogEstimate m_backlog;
    ReportedLoad m_reported; ///< from the newest reports
    ReportedLoad m_slotTimeReports; ///< at the last update of the slot time
};

} // namespace cuminrelay
