#pragma once

#include "base/Time.h"

#include <cstdint>
#include <random>

namespace cuminrelay {

/// Says when the next attempt of something that failed may be made: exponentially later with jitter, and never more
/// attempts than a budget that fills up slowly. Attempts after a success are free.
class Backoff {
public:
    struct Limits {
        Duration m_shortest;
        Duration m_longest;
        unsigned m_budget = 20; ///< retries that may be made in a burst
        Duration m_refill = std::chrono::seconds { 1 }; ///< a retry is added to the budget this often
    };

    Backoff(const Limits& limits, std::uint64_t seed, Instant now);

    /// Notes a failure and returns when to try again.
    Deadline failed(Instant now);

    /// Notes a success.
    void succeeded() { m_failures = 0; }

private:
    Limits m_limits;
    std::minstd_rand m_random;
    unsigned m_failures = 0;
    unsigned m_spent = 0;
    Deadline m_refillAt;
};

} // namespace cuminrelay
