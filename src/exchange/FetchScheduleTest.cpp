#include "exchange/FetchSchedule.h"

#include "discovery/WatchSchedule.h"

#include <gtest/gtest.h>
#include <optional>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Instant c_start { seconds { 100 } };
    constexpr Endpoint c_peer { 0x0a000001, 7720 };
    constexpr Endpoint c_other { 0x0a000002, 7720 };

    TEST(FetchScheduleTest, theConnectionIsReusedForTheSamePeerWhileTheServerKeepsIt)
    {
        FetchSchedule schedule;
        EXPECT_FALSE(schedule.begin(c_peer, false, c_start).m_isOnKeptConnection);
        schedule.keepConnection(c_peer, c_start);
        EXPECT_TRUE(schedule.begin(c_peer, true, c_start + seconds { 3 }).m_isOnKeptConnection);
        EXPECT_FALSE(schedule.begin(c_peer, false, c_start + seconds { 3 }).m_isOnKeptConnection);
        EXPECT_FALSE(schedule.begin(c_other, true, c_start + seconds { 3 }).m_isOnKeptConnection);
        EXPECT_FALSE(schedule.begin(c_peer, true, c_start + seconds { 5 }).m_isOnKeptConnection);
    }

    // A fetch over a silent connection follows a watch that was silent, too. A VM used an old state for more than
    // StableWindowMs, because it gave each the time of a large answer (review/4).
    TEST(FetchScheduleTest, aFetchOverASilentConnectionEndsInTimeAfterASilentWatch)
    {
        FetchSchedule fetchSchedule;
        fetchSchedule.keepConnection(c_peer, c_start);
        WatchSchedule watchSchedule { 1, c_start };
        watchSchedule.setReading(true);
        watchSchedule.begin(c_start);
        watchSchedule.recordAnswer({ { 1 }, true }, c_start);
        const Deadline watchEndsAt = watchSchedule.begin(c_start).m_deadline;
        const Deadline nextCallAt = watchSchedule.recordFailure(ErrorKind::Unavailable, watchEndsAt);

        fetchSchedule.keepConnection(c_peer, nextCallAt);
        const FetchSchedule::Attempt onKept = fetchSchedule.begin(c_peer, true, nextCallAt);
        ASSERT_TRUE(onKept.m_isOnKeptConnection);
        const std::optional<FetchSchedule::Attempt> onNew = FetchSchedule::next(onKept, onKept.m_answerBy);
        ASSERT_TRUE(onNew);
        EXPECT_FALSE(onNew->m_isOnKeptConnection);
        constexpr Duration stableWindow = milliseconds { 4'000 };
        EXPECT_LT(onNew->m_answerBy, c_start + stableWindow);
        EXPECT_FALSE(FetchSchedule::next(*onNew, onNew->m_answerBy));
    }

} // namespace
} // namespace cuminrelay
