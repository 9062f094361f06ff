#pragma once

#include "base/Error.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cuminrelay {

/// Input of a retry decision.
struct FailedCall {
    ErrorKind m_error = ErrorKind::Unavailable;
    unsigned m_attempts = 1; ///< attempts so far, including the failed one
    Deadline m_deadline {}; ///< deadline of the call with all its attempts
};

/// Result of a retry decision: the time of the next attempt, or the reason for giving up.
struct RetryDecision {
    std::optional<Instant> m_retryAt;
    /// Value of the counter's label, in snake_case; empty for errors that are never retried.
    std::string_view m_reason;
};

/// Decides whether to repeat a failed call. Only calls that certainly did not run are eligible.
class RetryPolicy {
public:
    RetryPolicy() = default;
    RetryPolicy(const RetryPolicy&) = delete;
    RetryPolicy& operator=(const RetryPolicy&) = delete;
    virtual ~RetryPolicy() = default;

    /// Records the start of a call, which adds to the retry budget.
    virtual void recordCall() = 0;

    virtual RetryDecision decide(const FailedCall& call, Instant now) = 0;
};

/// Retries after Unavailable with exponential backoff and jitter within the deadline and a retry budget. Each call adds
/// a fraction of a retry to the budget, so that retries do not multiply the load during an outage.
class BudgetedRetryPolicy final : public RetryPolicy {
public:
    struct Limits {
        unsigned m_attempts = 6;
        unsigned m_callsPerRetry = 5; ///< calls that add one retry to the budget
        unsigned m_maximumSavedRetries = 10; ///< maximum budget, in retries; also the initial budget
    };

    /// seed: makes the jitter differ between processes.
    BudgetedRetryPolicy(Limits limits, std::uint64_t seed);

    void recordCall() override;
    RetryDecision decide(const FailedCall& call, Instant now) override;

private:
    Duration backoff(unsigned attempts);

    Limits m_limits;
    std::uint64_t m_seed;
    std::uint64_t m_jitterCount = 0;
    std::uint64_t m_availableCredit; ///< budget, in calls: a retry costs m_callsPerRetry
};

} // namespace cuminrelay
