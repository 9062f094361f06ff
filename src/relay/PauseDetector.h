#pragma once

#include "base/Time.h"

namespace cuminrelay {

/// Detects that the process did not run for a while because the VM or the process was suspended.
class PauseDetector {
public:
    /// The maximum interval between calls of detect() in a process that runs.
    static constexpr Duration s_maxRunInterval = std::chrono::milliseconds { 50 };

    /// Longer gaps count as a pause, shorter ones as a shortage of processor time.
    static constexpr Duration s_pauseThreshold = std::chrono::milliseconds { 400 };

    /// Call whenever a task runs. Returns the length of the pause that has just ended, or zero.
    Duration detect(Instant now)
    {
        const Duration gap = m_lastRunAt != Instant {} ? now - m_lastRunAt : Duration::zero();
        m_lastRunAt = now;
        return gap > s_pauseThreshold ? gap : Duration::zero();
    }

private:
    Instant m_lastRunAt {};
};

} // namespace cuminrelay
