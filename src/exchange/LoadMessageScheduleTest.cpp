#include "exchange/LoadMessageSchedule.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_start { std::chrono::seconds { 100 } };
    constexpr Deadline c_repeatAt = c_start + milliseconds { 200 };
    constexpr std::uint64_t c_budget = 20'000; // bytes a second

    std::vector<BackendLoadReport> loadsOf(std::uint32_t requests)
    {
        return { { { 1 }, { requests, 0 } } };
    }

    TEST(LoadMessageScheduleTest, aChangedLoadIsSentAsSoonAsTheBudgetAllows)
    {
        LoadMessageSchedule schedule { c_budget };
        EXPECT_TRUE(schedule.isDue(loadsOf(1), {}, false, c_start));
        schedule.recordLoadMessage(loadsOf(1), {}, 1'000, c_start, c_repeatAt); // 50 ms of the budget
        EXPECT_FALSE(schedule.isDue(loadsOf(2), {}, false, c_start + milliseconds { 49 }));
        EXPECT_TRUE(schedule.isDue(loadsOf(2), {}, false, c_start + milliseconds { 50 }));
    }

    TEST(LoadMessageScheduleTest, anUnchangedLoadIsSentAgainWhenDue)
    {
        LoadMessageSchedule schedule { c_budget };
        schedule.recordLoadMessage(loadsOf(1), {}, 100, c_start, c_repeatAt);
        EXPECT_FALSE(schedule.isDue(loadsOf(1), {}, false, c_start + milliseconds { 199 }));
        EXPECT_TRUE(schedule.isDue(loadsOf(1), {}, false, c_start + milliseconds { 200 }));
    }

    // Otherwise, the receivers time the sender out.
    TEST(LoadMessageScheduleTest, anUnchangedLoadIsSentAgainDespiteASpentBudget)
    {
        LoadMessageSchedule schedule { c_budget };
        schedule.recordLoadMessage(loadsOf(1), {}, 1'000'000, c_start, c_repeatAt);
        EXPECT_TRUE(schedule.isDue(loadsOf(1), {}, false, c_start + milliseconds { 200 }));
    }

    TEST(LoadMessageScheduleTest, aDeadBackendServerIsSentDespiteASpentBudget)
    {
        LoadMessageSchedule schedule { c_budget };
        schedule.recordLoadMessage(loadsOf(1), {}, 1'000'000, c_start, c_repeatAt);
        const std::vector<BackendToken> dead { { 7 } };
        EXPECT_TRUE(schedule.isDue(loadsOf(1), dead, false, c_start));
    }

    TEST(LoadMessageScheduleTest, aBusyVmStaysWithinItsBudget)
    {
        LoadMessageSchedule schedule { c_budget };
        std::size_t sent = 0;
        std::uint32_t requests = 0;
        for (Instant now = c_start; now < c_start + std::chrono::seconds { 10 }; now += milliseconds { 25 }) {
            const std::vector<BackendLoadReport> loads = loadsOf(++requests);
            if (!schedule.isDue(loads, {}, false, now))
                continue;
            schedule.recordLoadMessage(loads, {}, 1'700, now, now + milliseconds { 200 });
            sent += 1'700;
        }
        EXPECT_LE(sent, 10 * c_budget + 1'700);
        EXPECT_GE(sent, 8 * c_budget);
    }

} // namespace
} // namespace cuminrelay
