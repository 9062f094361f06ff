#include "relay/GracefulShutdown.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// Time for the fabric to act on the last answer and for packets in flight to arrive.
    constexpr Duration c_removalDelay = std::chrono::milliseconds { 150 };

    /// If too few VMs are ready, the fabric sends packets to all VMs, at intervals shorter than this.
    constexpr Duration c_idleTime = std::chrono::milliseconds { 300 };

    /// Reserved for the exit of the process: a part of the time to stop, up to a maximum.
    constexpr Duration c_maxExitReserve = std::chrono::milliseconds { 1'000 };
    constexpr int c_exitReserveDivisor = 6;

} // namespace

GracefulShutdown::GracefulShutdown(Instant startedAt, Deadline deadline)
    : m_exitAt(deadline - std::min<Duration>(c_maxExitReserve, (deadline - startedAt) / c_exitReserveDivisor))
    , m_lastPacketAt(startedAt)
{
}

bool GracefulShutdown::canExit(unsigned notReadyAnswers, Instant now)
{
    if (now >= m_exitAt)
        return true;
    if (notReadyAnswers < s_requiredNotReadyAnswers)
        return false;
    if (m_removedAt == Instant {})
        m_removedAt = now;
    return now - m_removedAt >= c_removalDelay && now - m_lastPacketAt >= c_idleTime;
}

} // namespace cuminrelay
