#include "base/BytePacer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    TEST(BytePacer, aMessageWaitsUntilThePreviousOneIsWithinTheRate)
    {
        ManualClock clock;
        BytePacer pacer { 1000 };
        EXPECT_TRUE(pacer.maySend(clock.now()));
        pacer.charge(500, clock.now());
        clock.advance(std::chrono::milliseconds { 499 });
        EXPECT_FALSE(pacer.maySend(clock.now()));
        clock.advance(std::chrono::milliseconds { 1 });
        EXPECT_TRUE(pacer.maySend(clock.now()));
    }

    TEST(BytePacer, idleTimeGivesNoCredit)
    {
        ManualClock clock;
        BytePacer pacer { 1000 };
        clock.advance(std::chrono::hours { 1 });
        pacer.charge(100, clock.now());
        EXPECT_FALSE(pacer.maySend(clock.now()));
    }

    RC_GTEST_PROP(BytePacer, rateExceedsTheBudgetByAtMostOneMessage, (const std::vector<std::uint16_t>& sizes))
    {
        constexpr std::uint64_t bytesPerSecond = 12'000;
        ManualClock clock;
        const Instant start = clock.now();
        BytePacer pacer { bytesPerSecond };
        std::uint64_t sent = 0;
        std::uint64_t largest = 0;
        for (const std::uint16_t size : sizes) {
            while (!pacer.maySend(clock.now()))
                clock.advance(std::chrono::milliseconds { 50 });
            pacer.charge(size, clock.now());
            sent += size;
            largest = std::max<std::uint64_t>(largest, size);
            const std::int64_t elapsed = (clock.now() - start).count();
            const std::uint64_t allowed = static_cast<std::uint64_t>(elapsed) * bytesPerSecond / 1'000'000;
            // Each charge may be rounded down by one microsecond; one byte per charge is allowed.
            RC_ASSERT(sent <= allowed + largest + sizes.size());
        }
    }

} // namespace
} // namespace cuminrelay
