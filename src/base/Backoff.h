#pragma once

#include "base/Time.h"

#include <cstdint>
#include <random>

namespace cuminrelay {

/// Computes when to retry a failed operation: exponential backoff with jitter, limited by a retry budget that refills
/// at a fixed rate. Only retries are charged to the budget; successes do not refill it.
class Backoff {
public:
    struct Limits {
        Duration m_minimumDelay;
        Duration m_maximumDelay;
        unsigned m_maximumBurst = 20; ///< retries allowed in a burst
        Duration m_refillInterval = std::chrono::seconds { 1 }; ///< time in which one retry is added to the budget
    };

    Backoff(const Limits& limits, std::uint64_t seed, Instant now);

    /// Records a failure and returns the time of the next attempt.
    Deadline failed(Instant now);

    /// Records a success; the next delay starts from the minimum.
    void succeeded() { m_consecutiveFailures = 0; }

private:
    Limits m_limits;
    std::minstd_rand m_random;
    unsigned m_consecutiveFailures = 0;
    unsigned m_usedRetries = 0;
    Deadline m_refillAt;
};

} // namespace cuminrelay
