#include "relay/Departure.h"

namespace cuminrelay {

namespace {

    /// Packets that were under way when the fabric let go, and the time in which it acts on what it was told.
    constexpr Duration c_settling = std::chrono::milliseconds { 150 };

    /// Where too few VMs are left the fabric sends packets to all of them; they come more often than this.
    constexpr Duration c_quiet = std::chrono::milliseconds { 300 };

    /// Kept for ending itself.
    constexpr Duration c_reserve = std::chrono::milliseconds { 1'000 };

} // namespace

Departure::Departure(Instant begun, Deadline endBy)
    : m_endBy(endBy)
    , m_packetAt(begun)
{
}

bool Departure::mayEnd(unsigned refusals, Instant now)
{
    if (now >= m_endBy - c_reserve)
        return true;
    if (refusals < s_refusalsNeeded)
        return false;
    if (m_refusedAt == Instant {})
        m_refusedAt = now;
    return now - m_refusedAt >= c_settling && now - m_packetAt >= c_quiet;
}

} // namespace cuminrelay
