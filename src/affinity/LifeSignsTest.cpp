#include "affinity/LifeSigns.h"
#include "affinity/DeathTrial.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_start { std::chrono::seconds { 100 } };

    TEST(LifeSignsTest, anOpeningThatIsSentAgainCountsOnlyWithoutAnAnswerSince)
    {
        LifeSigns life;
        life.noteAnswer(c_start + milliseconds { 100 });
        life.noteUnansweredOpening(c_start); // a lost packet: the backend server has answered others since
        EXPECT_FALSE(life.isSilent());
        life.noteUnansweredOpening(c_start + milliseconds { 150 });
        EXPECT_TRUE(life.isSilent());
        EXPECT_TRUE(life.isDoubted());
        life.noteAnswer(c_start + milliseconds { 400 });
        EXPECT_FALSE(life.isSilent());
        EXPECT_FALSE(life.isDoubted());
    }

    TEST(LifeSignsTest, oneUnansweredRequestIsADoubtWhereAnswersAreFrequent)
    {
        LifeSigns frequent;
        frequent.noteAnswer(c_start);
        frequent.noteUnansweredData(c_start + milliseconds { 100 });
        EXPECT_TRUE(frequent.isDoubted());
        EXPECT_FALSE(frequent.isSilent());

        LifeSigns rare;
        rare.noteAnswer(c_start);
        rare.noteUnansweredData(c_start + milliseconds { 2'000 });
        EXPECT_FALSE(rare.isDoubted());
        rare.noteUnansweredData(c_start + milliseconds { 2'100 });
        EXPECT_TRUE(rare.isDoubted());
    }

    TEST(LifeSignsTest, anAnswerOfOnesOwnCountsForMoreThanAHint)
    {
        LifeSigns life;
        life.noteAnswer(c_start);
        life.noteHint(c_start + milliseconds { 100 });
        EXPECT_FALSE(life.isDoubted());
        life.noteHint(c_start + milliseconds { 300 });
        EXPECT_TRUE(life.isDoubted());
    }

    DeathTrial::Round unanswered(bool controlAnswered, bool hasControl = true)
    {
        return { ProbeOutcome::Unanswered, hasControl, controlAnswered };
    }

    TEST(DeathTrialTest, twoRoundsInWhichOnlyTheControlAnswersAreNeeded)
    {
        DeathTrial trial { false };
        EXPECT_FALSE(trial.needsControl());
        EXPECT_EQ(trial.take(unanswered(false, false)), std::nullopt);
        EXPECT_TRUE(trial.needsControl());
        EXPECT_EQ(trial.take(unanswered(true)), std::nullopt);
        EXPECT_EQ(trial.take(unanswered(true)), ProbeOutcome::Unanswered);
    }

    // The VM's own link is saturated or failed, so that no probe is answered. Such a VM once reset 151 flows of live
    // backend servers.
    TEST(DeathTrialTest, nobodyIsDeadWhileTheControlDoesNotAnswer)
    {
        DeathTrial trial { false };
        std::optional<ProbeOutcome> finding;
        int rounds = 0;
        while (!finding) {
            finding = trial.take(unanswered(false));
            ASSERT_LT(++rounds, 100);
        }
        EXPECT_EQ(finding, ProbeOutcome::Unclear);
    }

    // The link is saturated until just before the last probe.
    TEST(DeathTrialTest, anAnswerInAnyRoundEndsTheDoubt)
    {
        DeathTrial trial { false };
        trial.take(unanswered(false, false));
        trial.take(unanswered(false));
        trial.take(unanswered(true));
        EXPECT_EQ(trial.take({ ProbeOutcome::Answered, true, true }), ProbeOutcome::Answered);
    }

    TEST(DeathTrialTest, withoutAControlNobodyIsDead)
    {
        DeathTrial trial { false };
        trial.take(unanswered(false, false));
        EXPECT_EQ(trial.take(unanswered(false, false)), ProbeOutcome::Unclear);
    }

    TEST(DeathTrialTest, aRecheckAsksOnce)
    {
        DeathTrial trial { true };
        EXPECT_EQ(trial.take(unanswered(false, false)), ProbeOutcome::Unanswered);
    }

} // namespace
} // namespace cuminrelay
