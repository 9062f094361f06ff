#pragma once

#include "base/Error.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cuminrelay {

/// A failed call as a retry policy sees it.
struct FailedCall {
    ErrorKind m_error = ErrorKind::Unavailable;
    unsigned m_attempts = 1; ///< made so far, this one included
    Deadline m_deadline {}; ///< of the whole call
};

/// What a retry policy says: when to try again, or why not.
struct RetryDecision {
    std::optional<Instant> m_at;
    std::string_view m_reason; ///< snake_case, for the counter; empty when a retry makes no sense
};

/// Decides whether a failed call is made again. Only calls that provably did not run come in question.
class RetryPolicy {
public:
    RetryPolicy() = default;
    RetryPolicy(const RetryPolicy&) = delete;
    RetryPolicy& operator=(const RetryPolicy&) = delete;
    virtual ~RetryPolicy() = default;

    /// A call begins; it may be retried later.
    virtual void noteCall() = 0;

    virtual RetryDecision decide(const FailedCall& call, Instant now) = 0;
};

/// Retries Unavailable with exponential backoff and jitter, as long as the deadline leaves time and the budget lasts:
/// each call earns a fraction of a retry, so that an outage is not answered with a multiple of the usual load.
class BudgetedRetryPolicy final : public RetryPolicy {
public:
    struct Limits {
        unsigned m_attempts = 6;
        unsigned m_callsPerRetry = 5; ///< calls that earn one retry
        unsigned m_savedRetries = 10; ///< retries saved up at most; also the budget at the start
    };

    /// seed: sets the jitter apart between processes.
    BudgetedRetryPolicy(Limits limits, std::uint64_t seed);

    void noteCall() override;
    RetryDecision decide(const FailedCall& call, Instant now) override;

private:
    Duration backoff(unsigned attempts);

    Limits m_limits;
    std::uint64_t m_seed;
    std::uint64_t m_draws = 0;
    std::uint64_t m_earned; ///< in calls: m_callsPerRetry of them make one retry
};

} // namespace cuminrelay
