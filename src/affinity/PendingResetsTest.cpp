#include "affinity/PendingResets.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_start { std::chrono::seconds { 100 } };

    TEST(PendingResetsTest, aFlowIsResetOnlyWithAStateConfirmedAfterItsFirstPacket)
    {
        PendingResets resets;
        EXPECT_FALSE(resets.mayReset({ 1 }, c_start, c_start));
        EXPECT_FALSE(resets.mayReset({ 1 }, c_start, c_start + milliseconds { 200 }));
        EXPECT_TRUE(resets.mayReset({ 1 }, c_start + milliseconds { 1 }, c_start + milliseconds { 600 }));
        EXPECT_FALSE(resets.mayReset({ 2 }, c_start + milliseconds { 1 }, c_start + milliseconds { 600 }));
    }

    TEST(PendingResetsTest, aPermittedFlowIsResetWithAnyState)
    {
        PendingResets resets;
        resets.permit({ 1 }, c_start);
        EXPECT_TRUE(resets.mayReset({ 1 }, Instant {}, c_start));
    }

    TEST(PendingResetsTest, anIdleFlowIsForgotten)
    {
        PendingResets resets;
        EXPECT_FALSE(resets.mayReset({ 1 }, c_start, c_start));
        resets.sweep(c_start + milliseconds { 1'600 }); // a caller's longest interval between copies
        EXPECT_TRUE(resets.mayReset({ 1 }, c_start + milliseconds { 1 }, c_start + milliseconds { 1'600 }));
        resets.sweep(c_start + milliseconds { 10'000 });
        EXPECT_FALSE(resets.mayReset({ 1 }, c_start + milliseconds { 1 }, c_start + milliseconds { 10'000 }));
    }

    TEST(PendingResetsTest, beyondTheLimitFlowsAreNotReset)
    {
        PendingResets resets;
        for (std::uint64_t flow = 0; flow < PendingResets::s_maxFlows; ++flow)
            EXPECT_FALSE(resets.mayReset({ flow }, c_start, c_start));
        const Instant later = c_start + milliseconds { 200 };
        EXPECT_FALSE(resets.mayReset({ PendingResets::s_maxFlows }, c_start, c_start));
        EXPECT_FALSE(resets.mayReset({ PendingResets::s_maxFlows }, later, later));
        EXPECT_EQ(resets.refused(), 2u);
        EXPECT_TRUE(resets.mayReset({ 1 }, later, later));
    }

} // namespace
} // namespace cuminrelay
