#include "pace/PaceTracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Instant c_start { seconds { 100 } };
    constexpr Duration c_mean = milliseconds { 30 };

    /// Records answers of an idle backend server, each after the given time, at intervals of 100 ms.
    Instant answer(PaceTracker& tracker, int count, Duration time, Instant now)
    {
        for (int i = 0; i < count; ++i) {
            now += milliseconds { 100 };
            tracker.recordAnswer({ time, 0, 2 }, c_mean, now);
        }
        return now;
    }

    // An entry VM that has just started must not hold back the backend servers that it finds.
    TEST(PaceTrackerTest, aBackendServerWithoutEventsIsSteady)
    {
        const Pace pace = PaceTracker {}.pace(c_start);
        EXPECT_EQ(pace.m_factor, 1);
        EXPECT_EQ(pace.m_share, 0);
        EXPECT_EQ(pace.m_reason, PaceReason::Steady);
    }

    // Guards against an idle backend server whose announced warm-up is not needed.
    TEST(PaceTrackerTest, quickAnswersOverruleAnAnnouncedWarmup)
    {
        PaceTracker tracker;
        tracker.recordStart(c_start + seconds { 10 }, c_start);
        EXPECT_DOUBLE_EQ(tracker.pace(c_start).m_factor, c_warmupFactor);
        const Instant now = answer(tracker, 20, c_mean, c_start);
        EXPECT_LT(tracker.pace(now).m_factor, 1.2);
    }

    // Guards against an overload by a start that announces no warm-up.
    TEST(PaceTrackerTest, longAnswersShowAWarmupThatIsNotAnnounced)
    {
        PaceTracker tracker;
        tracker.recordStart(c_start, c_start);
        EXPECT_EQ(tracker.pace(c_start).m_factor, 1);
        const Instant now = answer(tracker, 10, 3 * c_mean, c_start);
        EXPECT_GT(tracker.pace(now).m_factor, 2);
        EXPECT_EQ(tracker.pace(now).m_reason, PaceReason::Starting);
    }

    // Guards against a crowd while other VMs' reports do not show the load yet.
    TEST(PaceTrackerTest, theShareIsEvenUntilTheLoadIsKnown)
    {
        PaceTracker tracker;
        tracker.recordRecovery(c_start);
        EXPECT_EQ(tracker.pace(c_start).m_share, 1);
        EXPECT_EQ(tracker.pace(c_start).m_reason, PaceReason::Recovering);
        EXPECT_EQ(tracker.pace(c_start + seconds { 1 }).m_share, 0);
        EXPECT_EQ(tracker.pace(c_start + seconds { 5 }).m_reason, PaceReason::Steady);
    }

    TEST(PaceTrackerTest, answersChangeTheShare)
    {
        PaceTracker quick;
        quick.recordStart(c_start, c_start);
        EXPECT_GT(quick.pace(answer(quick, 4, c_mean, c_start)).m_share, 1.5);
        PaceTracker slow;
        slow.recordStart(c_start, c_start);
        EXPECT_LT(slow.pace(answer(slow, 4, 8 * c_mean, c_start)).m_share, 1);
    }

    // Guards against a backend server that stays without flows after it was slow once.
    TEST(PaceTrackerTest, aSlowBackendServerIsSteadyAgainWhenAnswersCease)
    {
        PaceTracker tracker;
        const Instant now = answer(tracker, 20, 5 * c_mean, c_start);
        EXPECT_EQ(tracker.pace(now).m_reason, PaceReason::Slow);
        EXPECT_GT(tracker.pace(now).m_factor, 3);
        EXPECT_EQ(tracker.pace(now + seconds { 15 }).m_reason, PaceReason::Steady);
        EXPECT_EQ(tracker.pace(now + seconds { 15 }).m_factor, 1);
    }

    // The wait for a slot is load, which placement knows already.
    TEST(PaceTrackerTest, waitsForASlotDoNotCountAsWork)
    {
        PaceTracker tracker;
        for (int i = 0; i < 20; ++i)
            tracker.recordAnswer({ 3 * c_mean, 5, 2 }, c_mean, c_start);
        EXPECT_EQ(tracker.pace(c_start).m_reason, PaceReason::Steady);
    }

    // A backend server that sheds answers at once, and must not look fast.
    TEST(PaceTrackerTest, refusalsOfABusyBackendServerCountAgainstIt)
    {
        PaceTracker tracker;
        for (int i = 0; i < 20; ++i)
            tracker.recordAnswer({ milliseconds { 1 }, 8, 2 }, c_mean, c_start);
        EXPECT_EQ(tracker.pace(c_start).m_reason, PaceReason::Slow);
    }

    // A backend server that answers all requests with errors must not draw more than an even share.
    TEST(PaceTrackerTest, implausiblyQuickAnswersLimitTheShare)
    {
        PaceTracker tracker;
        const Instant now = answer(tracker, 20, milliseconds { 1 }, c_start);
        EXPECT_EQ(tracker.pace(now).m_share, 1);
        EXPECT_EQ(tracker.pace(now).m_factor, 1);
    }

    TEST(PaceTrackerTest, withoutAMeanAnswersShowNothing)
    {
        PaceTracker tracker;
        tracker.recordAnswer({ seconds { 1 }, 0, 2 }, Duration {}, c_start);
        EXPECT_EQ(tracker.pace(c_start).m_reason, PaceReason::Steady);
        AnswerBaseline baseline;
        baseline.record({ c_mean, 0, 2 }, true);
        EXPECT_EQ(baseline.mean(), Duration {});
    }

    // A service whose requests all become longer must not leave all its backend servers slow.
    TEST(PaceTrackerTest, theBaselineFollowsAServiceWhoseWorkGrows)
    {
        AnswerBaseline baseline;
        for (int i = 0; i < 64; ++i)
            baseline.record({ c_mean, 0, 2 }, true);
        EXPECT_EQ(baseline.mean(), c_mean);
        for (int i = 0; i < 2'000; ++i)
            baseline.record({ 4 * c_mean, 0, 2 }, false);
        EXPECT_GT(baseline.mean(), 3 * c_mean);
    }

    RC_GTEST_PROP(PaceTrackerTest, paceStaysInItsBoundsAndEndsSteady,
        (const std::vector<std::uint8_t>& events, std::uint16_t answerMs))
    {
        PaceTracker tracker;
        Instant now = c_start;
        for (const std::uint8_t event : events) {
            now += milliseconds { event };
            if (event % 8 == 0)
                tracker.recordStart(now + milliseconds { answerMs }, now);
            else if (event % 8 == 1)
                tracker.recordRecovery(now);
            else if (event % 8 == 2)
                tracker.recordMissingAnswer(now);
            else
                tracker.recordAnswer({ milliseconds { answerMs }, event, 2 }, c_mean, now);
            const Pace pace = tracker.pace(now);
            RC_ASSERT(pace.m_factor >= 1 && pace.m_factor <= 8);
            RC_ASSERT(pace.m_share >= 0 && pace.m_share <= 2);
            // A share of 0 has another meaning than a very small one.
            RC_ASSERT(pace.m_share == 0 || pace.m_share >= 0.1);
        }
        const Pace last = tracker.pace(now + milliseconds { answerMs } + seconds { 60 });
        RC_ASSERT(last.m_reason == PaceReason::Steady);
        RC_ASSERT(last.m_factor == 1);
    }

} // namespace
} // namespace cuminrelay
