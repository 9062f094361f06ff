#pragma once

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace cuminrelay {

/// Event scheduler on a virtual clock. Runs actions in order of time, and those of equal time in the order in which
/// they were scheduled. Single-threaded.
class Timeline {
public:
    using Action = std::function<void()>;

    Instant now() const { return m_now; }

    /// Schedules an action; a time in the past counts as now().
    void at(Instant when, Action action);
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    /// Runs all actions before the end, then sets now() to the end.
    void runUntil(Instant end);

private:
    struct ScheduledAction {
        Instant m_at {};
        std::uint64_t m_order = 0;
        Action m_action;
    };

    struct RunsLater {
        bool operator()(const ScheduledAction& one, const ScheduledAction& other) const;
    };

    Instant m_now { std::chrono::seconds { 1 } };
    std::uint64_t m_scheduledCount = 0;
    std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, RunsLater> m_queue;
};

} // namespace cuminrelay
