#include "bench/ChangeExperiment.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr std::uint64_t c_seed = 20261204;

    template <typename Design> ChangeExperimentResult play(std::vector<ChangeStrike> strikes)
    {
        ChangeExperimentSettings settings;
        settings.m_seed = c_seed;
        settings.m_strikes = std::move(strikes);
        settings.m_design = std::make_shared<Design>();
        return ChangeExperiment { settings }.run();
    }

    TEST(ChangeExperiment, withoutAFaultAllEditsStandButTheSecondOfTwoThatConflict)
    {
        const ChangeExperimentResult result = play<VersionedChanges>({ { ChangeFault::None, ChangeStep::Read } });
        EXPECT_EQ(result.violations(), 0);
        EXPECT_EQ(result.m_conflicts, 3)
            << "one in each of the three rounds in which both operators edit the same label";
        EXPECT_EQ(result.m_accepted + result.m_conflicts, result.m_edits);
    }

    TEST(ChangeExperiment, eachFaultAloneFindsEachStep)
    {
        for (std::size_t step = 0; step < static_cast<std::size_t>(ChangeStep::Count); ++step) {
            const ChangeStep struck = static_cast<ChangeStep>(step);
            EXPECT_EQ(play<VersionedChanges>({ { ChangeFault::PauseControl, struck } }).m_struck, 1)
                << changeStepName(struck);
        }
    }

    TEST(ChangeExperiment, anEditWhoseAnswerIsLostIsNotAppliedTwice)
    {
        const ChangeExperimentResult result
            = play<VersionedChanges>({ { ChangeFault::LoseWriteAnswer, ChangeStep::Write } });
        EXPECT_EQ(result.violations(), 0);
        EXPECT_GT(play<LatestWinsChanges>({ { ChangeFault::LoseWriteAnswer, ChangeStep::Write } }).m_doubledEdits, 0);
    }

    TEST(ChangeExperiment, theLastWriterWinsLosesEdits)
    {
        const ChangeExperimentResult result = play<LatestWinsChanges>({ { ChangeFault::None, ChangeStep::Read } });
        EXPECT_GT(result.m_lostEdits, 0);
        EXPECT_GT(result.m_overwritten, 0);
    }

    TEST(ChangeExperiment, theLatestAnswerWinsGoesBack)
    {
        const std::vector<ChangeStrike> strikes { { ChangeFault::StaleRead, ChangeStep::Everywhere } };
        EXPECT_EQ(play<VersionedChanges>(strikes).m_wentBack, 0);
        EXPECT_GT(play<LatestWinsChanges>(strikes).m_wentBack, 0);
    }

    TEST(ChangeExperiment, theLatestAnswerWinsSendsNewWorkToALeavingBackendServer)
    {
        const std::vector<ChangeStrike> strikes { { ChangeFault::StaleRead, ChangeStep::DrainLastFlowEnded } };
        EXPECT_EQ(play<VersionedChanges>(strikes).violations(), 0);
        EXPECT_GT(play<LatestWinsChanges>(strikes).violations(), 0);
    }

} // namespace
} // namespace cuminrelay
