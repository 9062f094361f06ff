#pragma once

#include "base/Time.h"
#include "standins/Signal.h"
#include "standins/WorkMessage.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay::standins {

/// One piece of work that a backend server started.
struct WorkRecord {
    std::string m_id;
    WorkKind m_kind = WorkKind::Form;
    std::int64_t m_startedUnixMs = 0;
};

struct HostWorkOptions {
    std::uint64_t m_slots = 2;
    std::uint64_t m_queueLimit = 200;
    Deadline m_coldStartEnd {}; ///< end of the cold start; work started earlier takes m_coldStartFactor times as long
    std::uint64_t m_coldStartFactor = 4;
};

/// The work model of a backend server: a few slots, a queue in order of arrival, shedding, cancellation and deadlines.
/// Records all started work. Single-threaded; each piece of work runs in the task that called run().
class HostWork {
public:
    explicit HostWork(HostWorkOptions options)
        : m_options(options)
    {
    }

    /// Waits for a slot, runs the work and returns its result.
    boost::asio::awaitable<WorkStatus> run(WorkRequest request);

    /// Cancels queued or running work; false for an unknown id.
    bool cancel(std::string_view id);

    void setColdStartEnd(Deadline coldStartEnd) { m_options.m_coldStartEnd = coldStartEnd; }

    /// While set, new work gets the status Shed and does not run.
    void setShedding(bool shedding) { m_shedding = shedding; }

    bool isShedding() const { return m_shedding; }
    std::uint64_t busySlots() const { return m_busySlots; }
    std::uint64_t queued() const { return m_queue.size(); }
    const std::vector<WorkRecord>& records() const { return m_records; }

private:
    /// A queued or running piece of work.
    struct WorkItem {
        std::string m_id;
        bool m_cancelled = false;
    };

    /// Returns Done when the work may start.
    boost::asio::awaitable<WorkStatus> waitForSlot(const WorkRequest& request, WorkItem& workItem);
    boost::asio::awaitable<WorkStatus> occupySlot(const WorkRequest& request, WorkItem& workItem);

    HostWorkOptions m_options;
    bool m_shedding = false;
    std::uint64_t m_busySlots = 0;
    std::list<WorkItem*> m_queue; ///< in order of arrival
    std::set<WorkItem*> m_workItems; ///< queued and running
    std::vector<WorkRecord> m_records;
    Signal m_changed;
};

} // namespace cuminrelay::standins
