#pragma once

#include "backends/BackendBoard.h"
#include "backends/RecentActivity.h"
#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstddef>
#include <optional>
#include <span>

namespace cuminrelay {

/// How much slot time a flow takes in a service, learnt from reports by Little's law: mean busy slots
/// over flows completed a second. Flows that hold no slot and stragglers that hold one for long are averaged in, so
/// that slots over slot time is the rate of flows that the service can take. Old samples decay.
class SlotTimeEstimate {
public:
    /// Adds the time between two reports.
    void add(Duration interval, double meanBusySlots, double completedFlows);

    /// Seconds of one slot for one flow; 0 while too little is known.
    double seconds() const;

private:
    double m_busySeconds = 0;
    double m_completedFlows = 0;
};

/// Flows of a service that hold a slot or wait for one, as estimated between reports: openings come on top,
/// and the slots work it off. It never falls below zero, so that idle time is not saved up.
class BacklogEstimate {
public:
    void add(double flows, double flowsPerSecond, Instant now);

    /// Starts again from a report.
    void reset(double flows, Instant measuredAt);

    double at(double flowsPerSecond, Instant now) const;

private:
    double m_flows = 0;
    Instant m_asOf {};
};

/// What the fresh reports of a service's backend servers that take new flows add up to.
struct ReportedLoad {
    std::size_t m_backends = 0;
    double m_slots = 0;
    double m_busySlots = 0;
    double m_backlog = 0; ///< flows that hold a slot or wait for one
    Instant m_measuredAt {}; ///< mean of the reports
};

ReportedLoad sumReports(std::span<const Endpoint> candidates, const BackendBoard& board, Instant now);

/// The load of one service between reports, as one entry VM estimates it: what it admits itself stands for what all
/// admit. Estimates are made for the service as a whole, because a VM places most flows in its own zone and sees
/// little of what the others place elsewhere.
class ServiceLoadEstimate {
public:
    /// Takes newer reports. scale: the inverse of this VM's share of the service's flows.
    void update(const ReportedLoad& reported, double scale);

    void noteAdmitted(double scale, Instant now);

    /// Seconds that a new flow would wait for a slot; nothing while too little is known.
    std::optional<double> expectedWait(Instant now) const;

    /// The same, from the reports alone.
    std::optional<double> reportedWait() const;

    /// Seconds in which a busy backend server completes one flow; 0 while too little is known.
    double slotSecondsPerBackend() const;

    /// Seconds in which the busy service completes one flow; 0 while too little is known.
    double secondsPerFlow() const;

private:
    void learnSlotTime(const ReportedLoad& newer, double scale);
    void restartBacklog(double scale);
    std::optional<double> flowsPerSecond() const;

    RecentActivity m_admitted;
    SlotTimeEstimate m_slotTime;
    BacklogEstimate m_backlog;
    ReportedLoad m_reported; ///< the newest
    ReportedLoad m_learnt; ///< what the slot time was last learnt from
};

} // namespace cuminrelay
