#include "admission/ServiceLoadEstimate.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };

    Instant after(int milliseconds)
    {
        return c_start + std::chrono::milliseconds { milliseconds };
    }

    TEST(SlotTimeEstimate, isUnknownUntilEnoughFlowsCompleted)
    {
        SlotTimeEstimate estimate;
        estimate.add(std::chrono::seconds { 1 }, 2, 10);
        EXPECT_EQ(estimate.seconds(), 0);
        estimate.add(std::chrono::seconds { 1 }, 2, 40);
        EXPECT_GT(estimate.seconds(), 0);
    }

    TEST(SlotTimeEstimate, followsBusySlotsOverCompletedFlowsAndDecaysOldSamples)
    {
        SlotTimeEstimate estimate;
        for (int i = 0; i < 10; ++i)
            estimate.add(std::chrono::seconds { 1 }, 2, 40);
        EXPECT_NEAR(estimate.seconds(), 0.05, 1e-9);
        for (int i = 0; i < 60; ++i)
            estimate.add(std::chrono::seconds { 1 }, 2, 20);
        EXPECT_NEAR(estimate.seconds(), 0.1, 1e-3);
    }

    TEST(BacklogEstimate, decreasesAtTheServiceRateAndStopsAtZero)
    {
        BacklogEstimate backlog;
        backlog.reset(80, after(0));
        EXPECT_DOUBLE_EQ(backlog.at(40, after(1000)), 40);
        EXPECT_EQ(backlog.at(40, after(5000)), 0);
        backlog.add(8, 40, after(5000));
        EXPECT_DOUBLE_EQ(backlog.at(40, after(5000)), 8);
    }

    TEST(BacklogEstimate, anEarlierInstantChangesNothing)
    {
        BacklogEstimate backlog;
        backlog.reset(80, after(1000));
        EXPECT_EQ(backlog.at(40, after(0)), 80);
    }

    TEST(ServiceLoadEstimate, estimatesTheWaitFromReportsAndOwnAdmissions)
    {
        ServiceLoadEstimate load;
        constexpr double scale = 4;
        EXPECT_EQ(load.expectedWait(after(0)), std::nullopt);
        for (int second = 0; second < 10; ++second) {
            for (int i = 0; i < 10; ++i)
                load.recordAdmitted(scale, after(1000 * second + 100 * i + 50));
            const int measured = 1000 * second;
            load.update({ 1, 2, 2, 2, after(measured) }, scale);
        }
        ASSERT_TRUE(load.reportedWait().has_value());
        EXPECT_NEAR(*load.reportedWait(), 0.05, 0.002);
        // Own admissions triple, to 120 flows in this second; the slots process 40.
        for (int i = 0; i < 20; ++i)
            load.recordAdmitted(scale, after(9'000 + 50 * i + 25));
        load.update({ 1, 2, 2, 82, after(10'000) }, scale);
        EXPECT_NEAR(*load.reportedWait(), 2.05, 0.1);
        EXPECT_NEAR(*load.expectedWait(after(11'000)), 1.05, 0.15);
    }

} // namespace
} // namespace cuminrelay
