#include "bench/AttemptExperiment.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr std::uint64_t c_seed = 20261204;

    template <typename Decider, typename... Arguments>
    AttemptExperimentSettings settingsFor(AttemptFault fault, AttemptStep step, Arguments... arguments)
    {
        AttemptExperimentSettings settings;
        settings.m_seed = c_seed;
        settings.m_injections = { { fault, step } };
        settings.m_makeDecider = [arguments...] { return std::make_unique<Decider>(arguments...); };
        return settings;
    }

    AttemptExperimentSettings ledgerSettingsFor(AttemptFault fault, AttemptStep step)
    {
        AttemptLedger::Parameters parameters;
        parameters.m_retriesUnknownIdempotent = true;
        return settingsFor<LedgerDecider>(fault, step, parameters);
    }

    TEST(AttemptExperiment, withoutFaultsNearlyAllRequestsAreAnsweredAndFewAreUnknown)
    {
        const AttemptExperimentResult result
            = AttemptExperiment { ledgerSettingsFor(AttemptFault::None, AttemptStep::Queued) }.run();
        EXPECT_EQ(result.violations(), 0);
        // A caller that repeats a request through another entry VM can get an unknown outcome.
        EXPECT_LT(result.m_reportedUnknown * 100, result.m_requests);
        EXPECT_GT(result.m_answered * 100, result.m_requests * 98);
    }

    TEST(AttemptExperiment, isDeterministicForASeed)
    {
        const AttemptExperimentSettings settings = ledgerSettingsFor(AttemptFault::LosePackets, AttemptStep::Running);
        const AttemptExperimentResult one = AttemptExperiment { settings }.run();
        const AttemptExperimentResult other = AttemptExperiment { settings }.run();
        EXPECT_EQ(one.m_answered, other.m_answered);
        EXPECT_EQ(one.m_reportedUnknown, other.m_reportedUnknown);
    }

    TEST(AttemptExperiment, retryOnTimeoutViolatesTheInvariants)
    {
        const AttemptExperimentResult lost
            = AttemptExperiment { settingsFor<RetryOnTimeoutDecider>(
                                      AttemptFault::LosePackets, AttemptStep::Dispatched) }
                  .run();
        EXPECT_GT(lost.m_ranTwice, 0);
        EXPECT_GT(lost.m_reportedNotRunButRan, 0);
        EXPECT_GT(lost.m_processesOverRetryBudget, 0);
        const AttemptExperimentResult swapped
            = AttemptExperiment { settingsFor<RetryOnTimeoutDecider>(AttemptFault::SwapAnswers, AttemptStep::Running) }
                  .run();
        EXPECT_GT(swapped.m_wrongAnswers, 0);
        const AttemptExperimentResult paused
            = AttemptExperiment { settingsFor<RetryOnTimeoutDecider>(AttemptFault::PauseVm, AttemptStep::Queued) }
                  .run();
        EXPECT_GT(paused.m_startedLate, 0);
    }

    TEST(AttemptExperiment, anUnmarkedRepeatRunsTwice)
    {
        AttemptExperimentSettings settings = ledgerSettingsFor(AttemptFault::SwapAnswers, AttemptStep::Queued);
        EXPECT_EQ(AttemptExperiment { settings }.run().violations(), 0);
        settings.m_marksRepeats = false;
        EXPECT_GT(AttemptExperiment { settings }.run().m_ranTwice, 0);
    }

    TEST(AttemptExperiment, anUnannouncedDrainIsDetected)
    {
        AttemptExperimentSettings settings = ledgerSettingsFor(AttemptFault::DrainBackend, AttemptStep::Accepted);
        EXPECT_EQ(AttemptExperiment { settings }.run().m_workAfterDrain, 0);
        settings.m_announcesDrains = false;
        EXPECT_GT(AttemptExperiment { settings }.run().m_workAfterDrain, 0);
    }

} // namespace
} // namespace cuminrelay
