#include "bench/ChangeExperiment.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr std::uint64_t c_seed = 20261204;

    template <typename Design> ChangeExperimentResult runExperiment(std::vector<ChangeFaultInjection> injections)
    {
        ChangeExperimentSettings settings;
        settings.m_seed = c_seed;
        settings.m_injections = std::move(injections);
        settings.m_design = std::make_shared<Design>();
        return ChangeExperiment { settings }.run();
    }

    TEST(ChangeExperiment, withoutFaultsOnlyTheSecondOfTwoConflictingEditsIsRejected)
    {
        const ChangeExperimentResult result
            = runExperiment<VersionedChanges>({ { ChangeFault::None, ChangeStep::Read } });
        EXPECT_EQ(result.violations(), 0);
        EXPECT_EQ(result.m_conflicts, 3) << "one for each of the three times that both operators edit the same label";
        EXPECT_EQ(result.m_accepted + result.m_conflicts, result.m_edits);
    }

    TEST(ChangeExperiment, aFaultIsInjectedAtEachStep)
    {
        for (std::size_t step = 0; step < static_cast<std::size_t>(ChangeStep::Count); ++step) {
            const ChangeStep changeStep = static_cast<ChangeStep>(step);
            EXPECT_EQ(runExperiment<VersionedChanges>({ { ChangeFault::PauseControl, changeStep } }).m_injected, 1)
                << changeStepName(changeStep);
        }
    }

    TEST(ChangeExperiment, anEditIsNotAppliedTwiceAfterItsAnswerIsLost)
    {
        const ChangeExperimentResult result
            = runExperiment<VersionedChanges>({ { ChangeFault::LoseWriteAnswer, ChangeStep::Write } });
        EXPECT_EQ(result.violations(), 0);
        EXPECT_GT(
            runExperiment<LatestWinsChanges>({ { ChangeFault::LoseWriteAnswer, ChangeStep::Write } }).m_duplicateEdits,
            0);
    }

    TEST(ChangeExperiment, lastWriteWinsLosesEdits)
    {
        const ChangeExperimentResult result
            = runExperiment<LatestWinsChanges>({ { ChangeFault::None, ChangeStep::Read } });
        EXPECT_GT(result.m_lostEdits, 0);
        EXPECT_GT(result.m_overwritten, 0);
    }

    TEST(ChangeExperiment, latestAnswerWinsDecreasesVersions)
    {
        const std::vector<ChangeFaultInjection> injections { { ChangeFault::StaleRead, ChangeStep::Everywhere } };
        EXPECT_EQ(runExperiment<VersionedChanges>(injections).m_versionDecreases, 0);
        EXPECT_GT(runExperiment<LatestWinsChanges>(injections).m_versionDecreases, 0);
    }

    TEST(ChangeExperiment, latestAnswerWinsSendsNewWorkToADrainingBackendServer)
    {
        const std::vector<ChangeFaultInjection> injections { { ChangeFault::StaleRead,
            ChangeStep::DrainLastFlowEnded } };
        EXPECT_EQ(runExperiment<VersionedChanges>(injections).violations(), 0);
        EXPECT_GT(runExperiment<LatestWinsChanges>(injections).violations(), 0);
    }

} // namespace
} // namespace cuminrelay
