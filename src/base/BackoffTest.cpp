#include "base/Backoff.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Backoff::Limits c_limits { std::chrono::milliseconds { 100 }, std::chrono::seconds { 5 }, 20,
        std::chrono::seconds { 1 } };

    TEST(Backoff, delayDoublesUpToTheMaximumAndResetsAfterASuccess)
    {
        Backoff backoff { c_limits, 1, c_start };
        Duration fullDelay = c_limits.m_minimumDelay;
        for (unsigned i = 0; i < 10; ++i) {
            const Duration wait = backoff.failed(c_start) - c_start;
            EXPECT_GE(wait, fullDelay / 2);
            EXPECT_LE(wait, fullDelay);
            fullDelay = std::min(fullDelay * 2, c_limits.m_maximumDelay);
        }
        backoff.succeeded();
        EXPECT_LE(backoff.failed(c_start) - c_start, c_limits.m_minimumDelay);
    }

    TEST(Backoff, differentSeedsGiveDifferentDelays)
    {
        Backoff first { c_limits, 1, c_start };
        Backoff second { c_limits, 2, c_start };
        EXPECT_NE(first.failed(c_start), second.failed(c_start));
    }

    TEST(Backoff, aSuccessDoesNotRefillTheBudget)
    {
        Backoff::Limits limits = c_limits;
        limits.m_maximumBurst = 3;
        Backoff backoff { limits, 1, c_start };
        Instant now = c_start;
        unsigned attempts = 0;
        while (now < c_start + std::chrono::seconds { 10 }) {
            now = backoff.failed(now);
            backoff.succeeded();
            ++attempts;
        }
        EXPECT_GE(attempts, 10U);
        EXPECT_LE(attempts, 3U + 10U + 1U);
    }

} // namespace
} // namespace cuminrelay
