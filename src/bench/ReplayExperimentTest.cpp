#include "bench/ReplayReport.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    /// Counts requests answered late or not at all, over several seeds.
    std::uint64_t countMissed(LoadPattern pattern, std::string_view design)
    {
        std::uint64_t sum = 0;
        for (const std::uint64_t seed : { 2U, 3U, 4U, 5U, 6U, 7U, 8U, 9U }) {
            ReplaySettings settings;
            settings.m_profile = *findFleetProfile("shirakaba");
            settings.m_pattern = pattern;
            settings.m_seed = seed;
            const ReplayResult result = ReplayExperiment { settings, replayDesign(design, settings.m_profile) }.run();
            EXPECT_GT(result.m_requests, 4'000u);
            sum += result.m_late + result.m_failed;
        }
        return sum;
    }

    TEST(ReplayExperimentTest, theSameSeedGivesTheSameRun)
    {
        ReplaySettings settings;
        settings.m_profile = *findFleetProfile("kalahari");
        settings.m_pattern = LoadPattern::LoadSpike;
        const FlowExperiment::DesignFactory design = replayDesign("carried", settings.m_profile);
        const ReplayResult first = ReplayExperiment { settings, design }.run();
        const ReplayResult second = ReplayExperiment { settings, design }.run();
        EXPECT_EQ(first.m_requests, second.m_requests);
        EXPECT_EQ(first.m_late, second.m_late);
        EXPECT_EQ(first.m_p99Seconds, second.m_p99Seconds);
    }

    TEST(ReplayExperimentTest, duringALoadSpikeFewerRequestsAreLateThanWithNaiveAffinity)
    {
        EXPECT_LT(3 * countMissed(LoadPattern::LoadSpike, "carried"),
            2 * countMissed(LoadPattern::LoadSpike, "naive-affinity"));
    }

    TEST(ReplayExperimentTest, stragglersDelayFewerRequestsThanWithRandomPlacement)
    {
        EXPECT_LT(3 * countMissed(LoadPattern::Stragglers, "carried"),
            2 * countMissed(LoadPattern::Stragglers, "carried-random"));
    }

    // Entry VMs without load messages place flows by their own observations.
    TEST(ReplayExperimentTest, withoutPeerMessagesFewerRequestsAreLateThanWithNaiveAffinity)
    {
        EXPECT_LT(countMissed(LoadPattern::UnreachablePeers, "carried"),
            countMissed(LoadPattern::UnreachablePeers, "naive-affinity"));
    }

    TEST(ReplayExperimentTest, unresponsiveBackendServersDelayFewerRequestsThanWithNaiveAffinity)
    {
        EXPECT_LT(3 * countMissed(LoadPattern::UnresponsiveBackends, "carried"),
            2 * countMissed(LoadPattern::UnresponsiveBackends, "naive-affinity"));
    }

} // namespace
} // namespace cuminrelay
