#include "backends/RecentActivity.h"

#include <algorithm>

namespace cuminrelay {

std::int32_t RecentActivity::windowOf(Instant now)
{
    return static_cast<std::int32_t>(now.time_since_epoch() / s_windowLength);
}

RecentActivity::Window& RecentActivity::window(Instant now)
{
    const std::int32_t number = windowOf(now);
    Window& window = m_windows[static_cast<std::size_t>(number % s_windowCount)];
    if (window.m_number != number)
        window = { number, {} };
    m_newest = std::max(m_newest, number);
    return window;
}

RecentActivity::Totals RecentActivity::since(Instant start) const
{
    const std::int32_t first = windowOf(start);
    Totals totals;
    for (const Window& window : m_windows) {
        if (window.m_number <= first)
            continue;
        totals.m_opened += window.m_totals.m_opened;
        totals.m_closed += window.m_totals.m_closed;
    }
    return totals;
}

RecentActivity::Totals RecentActivity::in(std::int32_t window) const
{
    const Window& held = m_windows[static_cast<std::size_t>(window % s_windowCount)];
    return held.m_number == window ? held.m_totals : Totals {};
}

} // namespace cuminrelay
