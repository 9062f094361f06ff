#include "base/Backoff.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr unsigned c_maximumDoublings = 16;

} // namespace

Backoff::Backoff(const Limits& limits, std::uint64_t seed, Instant now)
    : m_limits(limits)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
    , m_refillAt(now + limits.m_refillInterval)
{
}

Deadline Backoff::failed(Instant now)
{
    while (m_usedRetries > 0 && now >= m_refillAt) {
        --m_usedRetries;
        m_refillAt += m_limits.m_refillInterval;
    }
    if (m_usedRetries == 0)
        m_refillAt = now + m_limits.m_refillInterval;
    const Duration fullDelay
        = std::min(m_limits.m_minimumDelay * (1U << m_consecutiveFailures), m_limits.m_maximumDelay);
    m_consecutiveFailures = std::min(m_consecutiveFailures + 1, c_maximumDoublings);
    std::uniform_int_distribution<std::int64_t> jitter { fullDelay.count() / 2, fullDelay.count() };
    const Deadline next = now + Duration { jitter(m_random) };
    if (m_usedRetries >= m_limits.m_maximumBurst) {
        const Deadline refilled = m_refillAt;
        m_refillAt += m_limits.m_refillInterval;
        return std::max(next, refilled);
    }
    ++m_usedRetries;
    return next;
}

} // namespace cuminrelay
