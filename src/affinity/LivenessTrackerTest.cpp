#include "affinity/LivenessTracker.h"
#include "affinity/LivenessCheck.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_start { std::chrono::seconds { 100 } };

    TEST(LivenessTrackerTest, retransmittedOpeningCountsOnlyWithoutAnAnswerSince)
    {
        LivenessTracker liveness;
        liveness.recordAnswer(c_start + milliseconds { 100 });
        liveness.recordUnansweredOpening(c_start); // a lost packet: the backend server has answered others since
        EXPECT_FALSE(liveness.isUnresponsive());
        liveness.recordUnansweredOpening(c_start + milliseconds { 150 });
        EXPECT_TRUE(liveness.isUnresponsive());
        EXPECT_TRUE(liveness.isSuspected());
        liveness.recordAnswer(c_start + milliseconds { 400 });
        EXPECT_FALSE(liveness.isUnresponsive());
        EXPECT_FALSE(liveness.isSuspected());
    }

    TEST(LivenessTrackerTest, oneUnansweredRequestRaisesSuspicionIfAnswersAreFrequent)
    {
        LivenessTracker frequent;
        frequent.recordAnswer(c_start);
        frequent.recordUnansweredData(c_start + milliseconds { 100 });
        EXPECT_TRUE(frequent.isSuspected());
        EXPECT_FALSE(frequent.isUnresponsive());

        LivenessTracker rare;
        rare.recordAnswer(c_start);
        rare.recordUnansweredData(c_start + milliseconds { 2'000 });
        EXPECT_FALSE(rare.isSuspected());
        rare.recordUnansweredData(c_start + milliseconds { 2'100 });
        EXPECT_TRUE(rare.isSuspected());
    }

    TEST(LivenessTrackerTest, recentAnswerOutweighsAHint)
    {
        LivenessTracker liveness;
        liveness.recordAnswer(c_start);
        liveness.recordHint(c_start + milliseconds { 100 });
        EXPECT_FALSE(liveness.isSuspected());
        liveness.recordHint(c_start + milliseconds { 300 });
        EXPECT_TRUE(liveness.isSuspected());
    }

    LivenessCheck::Round unanswered(bool controlAnswered, bool hasControl = true)
    {
        return { ProbeOutcome::Unanswered, hasControl, controlAnswered };
    }

    TEST(LivenessCheckTest, twoRoundsWithOnlyAControlAnswerConfirmDeath)
    {
        LivenessCheck livenessCheck { false };
        EXPECT_FALSE(livenessCheck.needsControl());
        EXPECT_EQ(livenessCheck.apply(unanswered(false, false)), std::nullopt);
        EXPECT_TRUE(livenessCheck.needsControl());
        EXPECT_EQ(livenessCheck.apply(unanswered(true)), std::nullopt);
        EXPECT_EQ(livenessCheck.apply(unanswered(true)), ProbeOutcome::Unanswered);
    }

    // The VM's own link is saturated or failed, so that no probe is answered. Such a VM once reset 151 flows of live
    // backend servers.
    TEST(LivenessCheckTest, resultIsUnclearWhileTheControlDoesNotAnswer)
    {
        LivenessCheck livenessCheck { false };
        std::optional<ProbeOutcome> finding;
        int rounds = 0;
        while (!finding) {
            finding = livenessCheck.apply(unanswered(false));
            ASSERT_LT(++rounds, 100);
        }
        EXPECT_EQ(finding, ProbeOutcome::Unclear);
    }

    // The link is saturated until just before the last probe.
    TEST(LivenessCheckTest, answerInAnyRoundClearsTheSuspicion)
    {
        LivenessCheck livenessCheck { false };
        livenessCheck.apply(unanswered(false, false));
        livenessCheck.apply(unanswered(false));
        livenessCheck.apply(unanswered(true));
        EXPECT_EQ(livenessCheck.apply({ ProbeOutcome::Answered, true, true }), ProbeOutcome::Answered);
    }

    TEST(LivenessCheckTest, resultIsUnclearWithoutAControl)
    {
        LivenessCheck livenessCheck { false };
        livenessCheck.apply(unanswered(false, false));
        EXPECT_EQ(livenessCheck.apply(unanswered(false, false)), ProbeOutcome::Unclear);
    }

    TEST(LivenessCheckTest, recheckNeedsOneRound)
    {
        LivenessCheck livenessCheck { true };
        EXPECT_EQ(livenessCheck.apply(unanswered(false, false)), ProbeOutcome::Unanswered);
    }

} // namespace
} // namespace cuminrelay
