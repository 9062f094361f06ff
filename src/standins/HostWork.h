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

/// One piece of work that a backend server began to run.
struct WorkRecord {
    std::string m_id;
    WorkKind m_kind = WorkKind::Form;
    std::int64_t m_startedUnixMs = 0;
};

struct HostWorkOptions {
    std::uint64_t m_slots = 2;
    std::uint64_t m_queueLimit = 200;
    Deadline m_warmFrom {}; ///< work that starts earlier takes m_coldFactor times as long
    std::uint64_t m_coldFactor = 4;
};

/// The work model of a backend server: a few slots, a queue in order of arrival, shedding, cancellation and deadlines.
/// It records all that it ran. Everything runs on one thread; a piece of work is the task that called run().
class HostWork {
public:
    explicit HostWork(HostWorkOptions options)
        : m_options(options)
    {
    }

    /// Waits for a slot, runs the work, and says what became of it.
    boost::asio::awaitable<WorkStatus> run(WorkRequest request);

    /// Cancels queued or running work; false when there is none with this id.
    bool cancel(std::string_view id);

    /// Work that starts before this takes longer: a cold start.
    void setWarmFrom(Deadline warmFrom) { m_options.m_warmFrom = warmFrom; }

    /// Refuses all new work, with proof.
    void setShedding(bool shedding) { m_shedding = shedding; }

    bool isShedding() const { return m_shedding; }
    std::uint64_t busySlots() const { return m_busySlots; }
    std::uint64_t queued() const { return m_queue.size(); }
    const std::vector<WorkRecord>& records() const { return m_records; }

private:
    /// A piece of work that waits for a slot or runs in one.
    struct Ticket {
        std::string m_id;
        bool m_cancelled = false;
    };

    boost::asio::awaitable<WorkStatus> waitForSlot(const WorkRequest& request, Ticket& ticket);
    boost::asio::awaitable<WorkStatus> occupySlot(const WorkRequest& request, Ticket& ticket);

    HostWorkOptions m_options;
    bool m_shedding = false;
    std::uint64_t m_busySlots = 0;
    std::list<Ticket*> m_queue; ///< in order of arrival
    std::set<Ticket*> m_tickets; ///< queued and running
    std::vector<WorkRecord> m_records;
    Signal m_changed;
};

} // namespace cuminrelay::standins
