#include "objectapi/RetryPolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 100 } };
    constexpr Deadline c_distantDeadline = c_start + std::chrono::hours { 1 };

    TEST(RetryPolicy, onlyCallsThatDidNotRunAreRetried)
    {
        BudgetedRetryPolicy policy { {}, 1 };
        for (const ErrorKind kind : { ErrorKind::InvalidInput, ErrorKind::NotFound, ErrorKind::Conflict,
                 ErrorKind::Unauthorized, ErrorKind::OutcomeUnknown, ErrorKind::Stale, ErrorKind::Exhausted })
            EXPECT_FALSE(policy.decide({ kind, 1, c_distantDeadline }, c_start).m_retryAt.has_value());
        EXPECT_TRUE(policy.decide({ ErrorKind::Unavailable, 1, c_distantDeadline }, c_start).m_retryAt.has_value());
        EXPECT_EQ(
            policy.decide({ ErrorKind::OutcomeUnknown, 1, c_distantDeadline }, c_start).m_reason, "outcome_unknown");
    }

    TEST(RetryPolicy, attemptsAndDeadlineLimitRetries)
    {
        BudgetedRetryPolicy policy { { .m_attempts = 3 }, 1 };
        EXPECT_EQ(policy.decide({ ErrorKind::Unavailable, 3, c_distantDeadline }, c_start).m_reason, "attempts");
        const Deadline nearDeadline = c_start + std::chrono::milliseconds { 1 };
        EXPECT_EQ(policy.decide({ ErrorKind::Unavailable, 1, nearDeadline }, c_start).m_reason, "deadline");
    }

    TEST(RetryPolicy, theBudgetLimitsRetriesDuringAnOutage)
    {
        BudgetedRetryPolicy policy { { .m_attempts = 100, .m_callsPerRetry = 5, .m_maximumSavedRetries = 10 }, 1 };
        std::size_t retries = 0;
        for (int call = 0; call < 1000; ++call) {
            policy.recordCall();
            while (policy.decide({ ErrorKind::Unavailable, 1, c_distantDeadline }, c_start).m_retryAt)
                ++retries;
        }
        EXPECT_EQ(retries, 10U + 1000U / 5U - 1U) << "the initial budget is full, so the first call adds nothing";
    }

    RC_GTEST_PROP(RetryPolicy, backoffDoublesWithinItsBounds, (std::uint64_t seed))
    {
        BudgetedRetryPolicy policy { { .m_attempts = 9 }, seed };
        Duration maximumDelay = std::chrono::milliseconds { 50 };
        for (unsigned attempts = 1; attempts < 9; ++attempts) {
            const RetryDecision decision
                = policy.decide({ ErrorKind::Unavailable, attempts, c_distantDeadline }, c_start);
            RC_ASSERT(decision.m_retryAt.has_value());
            RC_ASSERT(*decision.m_retryAt - c_start >= maximumDelay / 2);
            RC_ASSERT(*decision.m_retryAt - c_start <= maximumDelay);
            maximumDelay = std::min<Duration>(maximumDelay * 2, std::chrono::seconds { 2 });
        }
    }

} // namespace
} // namespace cuminrelay
