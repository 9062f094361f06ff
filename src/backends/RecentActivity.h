#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminrelay {

/// Openings and closings of the last few seconds in fixed windows, so that a report that arrives late still has what
/// happened after its measurement counted on top. Memory: 1.5 KB.
class RecentActivity {
public:
    struct Totals {
        std::uint32_t m_opened = 0;
        std::uint32_t m_closed = 0;
    };

    void noteOpened(Instant now) { ++window(now).m_totals.m_opened; }
    void noteClosed(Instant now) { ++window(now).m_totals.m_closed; }

    /// What happened after an instant; reaches back four seconds at most.
    Totals since(Instant start) const;

    /// The window that an instant falls into. Windows are numbered since the clock's epoch.
    static std::int32_t windowOf(Instant now);

    /// What happened in one window; nothing for one that is too old.
    Totals in(std::int32_t window) const;

    /// The newest window in which anything happened.
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
