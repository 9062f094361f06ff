#include "base/Backoff.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr unsigned c_maximumDoublings = 16;

} // namespace

Backoff::Backoff(const Limits& limits, std::uint64_t seed, Instant now)
    : m_limits(limits)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
    , m_refillAt(now + limits.m_refill)
{
}

Deadline Backoff::failed(Instant now)
{
    while (m_spent > 0 && now >= m_refillAt) {
        --m_spent;
        m_refillAt += m_limits.m_refill;
    }
    if (m_spent == 0)
        m_refillAt = now + m_limits.m_refill;
    const Duration full = std::min(m_limits.m_shortest * (1U << m_failures), m_limits.m_longest);
    m_failures = std::min(m_failures + 1, c_maximumDoublings);
    std::uniform_int_distribution<std::int64_t> jitter { full.count() / 2, full.count() };
    const Deadline next = now + Duration { jitter(m_random) };
    if (m_spent >= m_limits.m_budget) {
        const Deadline refilled = m_refillAt;
        m_refillAt += m_limits.m_refill;
        return std::max(next, refilled);
    }
    ++m_spent;
    return next;
}

} // namespace cuminrelay
