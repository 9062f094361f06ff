#include "discovery/WatchSchedule.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    class WatchScheduleTest : public testing::Test {
    protected:
        /// Answers the current call after a delay.
        void answer(Duration delay, const StoreAnswer& answer)
        {
            m_now += delay;
            m_schedule.recordAnswer(answer, m_now);
        }

        /// Reads the complete state at revision 5 and begins a call that waits.
        WatchSchedule::Call beginToWait()
        {
            m_schedule.setReading(true);
            m_schedule.begin(m_now);
            answer(milliseconds { 4 }, { { 5 }, true });
            return m_schedule.begin(m_now);
        }

        Instant m_now { std::chrono::seconds { 100 } };
        WatchSchedule m_schedule { 1, m_now };
    };

    TEST_F(WatchScheduleTest, aCompleteReadConfirmsTheStateFromItsCall)
    {
        const Instant calledAt = m_now;
        EXPECT_TRUE(m_schedule.begin(m_now).m_readsAll);
        answer(milliseconds { 700 }, { { 5 }, true });
        EXPECT_EQ(m_schedule.confirmedAt(), calledAt);
    }

    TEST_F(WatchScheduleTest, theEndOfAWaitConfirmsTheStateUpToThen)
    {
        const WatchSchedule::Call call = beginToWait();
        EXPECT_GT(call.m_waitUntil, m_now);
        answer(call.m_waitUntil - m_now + milliseconds { 300 }, { { 9 }, false }); // the answer is late
        EXPECT_LT(m_schedule.confirmedAt(), call.m_waitUntil);
        EXPECT_GE(m_schedule.confirmedAt(), call.m_waitUntil - milliseconds { 1 });
    }

    // The store may have composed the answer right after the call, and more changes may have followed.
    TEST_F(WatchScheduleTest, anAnswerWithChangesOrBeforeTheEndOfTheWaitConfirmsTheStateFromItsCall)
    {
        for (const bool hasChanges : { true, false }) {
            const WatchSchedule::Call call = beginToWait();
            const Instant calledAt = m_now;
            answer(hasChanges ? call.m_deadline - m_now : milliseconds { 500 }, { { 9 }, hasChanges });
            EXPECT_EQ(m_schedule.confirmedAt(), calledAt);
        }
    }

    TEST_F(WatchScheduleTest, aCallWithoutAnAnswerConfirmsNothing)
    {
        const WatchSchedule::Call call = beginToWait();
        const Instant confirmedAt = m_schedule.confirmedAt();
        m_now = call.m_deadline;
        EXPECT_GT(m_schedule.recordFailure(ErrorKind::Unavailable, m_now), m_now);
        EXPECT_EQ(m_schedule.confirmedAt(), confirmedAt);
        EXPECT_FALSE(m_schedule.isFollowing());
        EXPECT_EQ(m_schedule.begin(m_now).m_waitUntil, m_now);
    }

    // In the new era the state may lack what the store acknowledged before: only later answers confirm it.
    TEST_F(WatchScheduleTest, aConfirmationOfAnEarlierEraDoesNotCount)
    {
        beginToWait();
        ASSERT_NE(m_schedule.confirmedAt(), Instant {});
        m_schedule.advanceTo({ 3, 1 }); // of another VM
        EXPECT_EQ(m_schedule.confirmedAt(), Instant {});
        EXPECT_EQ(m_schedule.revision(), (StoreRevision { 3, 1 }));
    }

    TEST_F(WatchScheduleTest, theFirstAnswerOfANewEraConfirmsOnlyItsOwnCall)
    {
        beginToWait();
        m_schedule.recordFailure(ErrorKind::Stale, m_now);
        const Instant calledAt = m_now;
        EXPECT_TRUE(m_schedule.begin(m_now).m_readsAll);
        answer(milliseconds { 4 }, { { 3, 1 }, true });
        EXPECT_EQ(m_schedule.confirmedAt(), calledAt);
        EXPECT_EQ(m_schedule.revision(), (StoreRevision { 3, 1 }));
    }

    // Another VM sent the state of the new era during a call that the store had answered before the restore.
    TEST_F(WatchScheduleTest, anAnswerOfAnEarlierEraThanTheStateConfirmsNothing)
    {
        const WatchSchedule::Call call = beginToWait();
        m_schedule.advanceTo({ 3, 1 });
        answer(call.m_waitUntil - m_now, { { 9 }, false });
        EXPECT_EQ(m_schedule.confirmedAt(), Instant {});
        EXPECT_EQ(m_schedule.revision(), (StoreRevision { 3, 1 }));
        EXPECT_FALSE(m_schedule.isFollowing());
    }

    // The watch shows no event for an entry that came back unchanged, so that only a list shows that it is there.
    TEST_F(WatchScheduleTest, everythingIsReadOnceMoreWhenTheRestoredStoreHasSettled)
    {
        beginToWait();
        m_schedule.recordFailure(ErrorKind::Stale, m_now);
        m_schedule.begin(m_now);
        answer(milliseconds { 4 }, { { 3, 1 }, true });
        const Instant settledAt = m_now + WatchSchedule::s_restoreSettleTime;
        unsigned watches = 0;
        for (; m_now < settledAt; ++watches) {
            const WatchSchedule::Call call = m_schedule.begin(m_now);
            ASSERT_FALSE(call.m_readsAll);
            ASSERT_LE(call.m_waitUntil, settledAt); // no wait delays the list
            answer(call.m_waitUntil - m_now, { { 3, 1 }, false });
        }
        EXPECT_EQ(watches, 3u);
        EXPECT_TRUE(m_schedule.begin(m_now).m_readsAll);
        answer(milliseconds { 4 }, { { 8, 1 }, true });
        EXPECT_FALSE(m_schedule.begin(m_now).m_readsAll);
        answer(std::chrono::seconds { 10 }, { { 8, 1 }, false });
        EXPECT_FALSE(m_schedule.begin(m_now).m_readsAll);
    }

    // The first read of a VM knows nothing that the copy could lack.
    TEST_F(WatchScheduleTest, theFirstReadOfALaterEraIsNoRestore)
    {
        m_schedule.setReading(true);
        m_schedule.begin(m_now);
        answer(milliseconds { 4 }, { { 5, 3 }, true });
        m_schedule.begin(m_now);
        answer(std::chrono::seconds { 3 }, { { 5, 3 }, false });
        EXPECT_FALSE(m_schedule.begin(m_now).m_readsAll);
    }

} // namespace
} // namespace cuminrelay
