#include "relay/Departure.h"

namespace cuminrelay {

namespace {

    /// Time for the fabric to act on the last answer and for packets in flight to arrive.
    constexpr Duration c_settling = std::chrono::milliseconds { 150 };

    /// With too few ready VMs the fabric sends packets to all of them, at intervals shorter than this.
    constexpr Duration c_quiet = std::chrono::milliseconds { 300 };

    /// Reserved for the exit of the process.
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
