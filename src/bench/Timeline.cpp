#include "bench/Timeline.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cuminrelay {

bool Timeline::RunsLater::operator()(const ScheduledAction& one, const ScheduledAction& other) const
{
    return std::tie(one.m_at, one.m_order) > std::tie(other.m_at, other.m_order);
}

void Timeline::at(Instant when, Action action)
{
    m_queue.push({ std::max(when, m_now), m_scheduledCount++, std::move(action) });
}

void Timeline::runUntil(Instant end)
{
    while (!m_queue.empty() && m_queue.top().m_at < end) {
        // top() is const, and the action has to outlive its element of the queue.
        ScheduledAction next = std::move(const_cast<ScheduledAction&>(m_queue.top()));
        m_queue.pop();
        m_now = next.m_at;
        next.m_action();
    }
    m_now = end;
}

} // namespace cuminrelay
