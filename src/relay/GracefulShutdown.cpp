#include "relay/GracefulShutdown.h"

namespace cuminrelay {

namespace {

    /// Time for the fabric to act on the last answer and for packets in flight to arrive.
    constexpr Duration c_removalDelay = std::chrono::milliseconds { 150 };

    /// If too few VMs are ready, the fabric sends packets to all VMs, at intervals shorter than this.
    constexpr Duration c_idleTime = std::chrono::milliseconds { 300 };

    /// Reserved for the exit of the process.
    constexpr Duration c_exitReserve = std::chrono::milliseconds { 1'000 };

} // namespace

GracefulShutdown::GracefulShutdown(Instant startedAt, Deadline deadline)
    : m_deadline(deadline)
    , m_lastPacketAt(startedAt)
{
}

bool GracefulShutdown::canExit(unsigned notReadyAnswers, Instant now)
{
    if (now >= m_deadline - c_exitReserve)
        return true;
    if (notReadyAnswers < s_requiredNotReadyAnswers)
        return false;
    if (m_removedAt == Instant {})
        m_removedAt = now;
    return now - m_removedAt >= c_removalDelay && now - m_lastPacketAt >= c_idleTime;
}

} // namespace cuminrelay
