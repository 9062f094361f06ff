#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminrelay {

/// Flows opened and closed in the last few seconds, counted in windows of fixed length, so that flows after the
/// measurement of a late report can be added to it. Memory: 1.5 KB.
class RecentActivity {
public:
    struct Totals {
        std::uint32_t m_opened = 0;
        std::uint32_t m_closed = 0;
    };

    void recordOpened(Instant now) { ++window(now).m_totals.m_opened; }
    void recordClosed(Instant now) { ++window(now).m_totals.m_closed; }

    /// Returns the totals after the window that contains `start`; covers at most the last four seconds.
    Totals since(Instant start) const;

    /// Returns the window that contains an instant. Windows are numbered since the clock's epoch.
    static std::int32_t windowOf(Instant now);

    /// Returns the totals of one window; zero for a window that is no longer held.
    Totals in(std::int32_t window) const;

    /// Returns the newest window with an opened or closed flow.
    std::int32_t newestWindow() const { return m_newest; }

    static Instant startOf(std::int32_t window) { return Instant { window * s_windowLength }; }

    static constexpr std::int32_t s_windowCount = 128;

private:
    static constexpr Duration s_windowLength { 32'000 };

    struct Window {
        std::int32_t m_number = 0;
        Totals m_totals;
    };

    Window& window(Instant now);

    std::array<Window, s_windowCount> m_windows {};
    std::int32_t m_newest = 0;
};

} // namespace cuminrelay
