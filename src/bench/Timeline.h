#pragma once

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace cuminrelay {

/// Virtual time for an experiment: runs what was planned in the order of its instants, and what falls on one instant in
/// the order in which it was planned. One thread.
class Timeline {
public:
    using Action = std::function<void()>;

    Instant now() const { return m_now; }

    /// Plans an action; one for an instant that has passed runs next.
    void at(Instant when, Action action);
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    /// Runs until nothing is planned before the end, which then is now.
    void runUntil(Instant end);

private:
    struct Planned {
        Instant m_at {};
        std::uint64_t m_order = 0;
        Action m_action;
    };

    struct Later {
        bool operator()(const Planned& one, const Planned& other) const;
    };

    Instant m_now { std::chrono::seconds { 1 } };
    std::uint64_t m_planned = 0;
    std::priority_queue<Planned, std::vector<Planned>, Later> m_queue;
};

} // namespace cuminrelay
