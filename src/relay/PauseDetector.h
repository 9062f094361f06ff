#pragma once

#include "base/Time.h"

namespace cuminrelay {

/// Notices that the process did not run for a while, because the machine or the process stood still.
class PauseDetector {
public:
    /// Something runs at least this often.
    static constexpr Duration s_expectedWithin = std::chrono::milliseconds { 50 };

    /// A shortage of processor time is no pause.
    static constexpr Duration s_longestGap = std::chrono::milliseconds { 400 };

    /// Call whenever something runs; returns how long the process stood still, or zero.
    Duration ran(Instant now)
    {
        const Duration gap = m_ranAt != Instant {} ? now - m_ranAt : Duration::zero();
        m_ranAt = now;
        return gap > s_longestGap ? gap : Duration::zero();
    }

private:
    Instant m_ranAt {};
};

} // namespace cuminrelay
