#include "bench/LoadExperiment.h"

#include "admission/ShareAdmission.h"
#include "admission/UnlimitedAdmission.h"
#include "placement/BoundedLoadPlacement.h"
#include "placement/DefaultOnlyPlacement.h"

#include <cmath>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr std::uint64_t c_seed = 20261204;

    // Targets of the product.
    constexpr double c_maxImbalance = 1.15;
    constexpr double c_maxStragglerRatio = 1.5;
    constexpr double c_minInDeadlineShare = 0.99;
    constexpr double c_maxExcessRefusals = 0.05;

    PolicyFactory productPolicies()
    {
        return { [] { return std::make_unique<BoundedLoadPlacement>(); },
            [] { return std::make_unique<ShareAdmission>(); } };
    }

    PolicyFactory baselinePolicies()
    {
        return { [] { return std::make_unique<DefaultOnlyPlacement>(); },
            [] { return std::make_unique<UnlimitedAdmission>(); } };
    }

    LoadExperimentSettings settingsFor(std::string_view profile, std::size_t service)
    {
        LoadExperimentSettings settings;
        settings.m_profile = *findFleetProfile(profile);
        settings.m_load = findServiceLoads(profile)[service];
        settings.m_seed = c_seed;
        return settings;
    }

    /// Service 0 of each profile is the large one, service 1 the small one.
    class LoadExperimentProfile : public ::testing::TestWithParam<const char*> { };

    TEST_P(LoadExperimentProfile, connectionsStayBalancedAtNormalLoadWithFewOverrides)
    {
        const LoadResult result = LoadExperiment(settingsFor(GetParam(), 0), productPolicies()).run();
        EXPECT_GT(result.m_worstImbalance, 1);
        EXPECT_LE(result.m_worstImbalance, c_maxImbalance);
        EXPECT_LT(result.m_overrideShare, 0.05);
        EXPECT_EQ(result.refusals(), 0);
    }

    TEST_P(LoadExperimentProfile, stragglersDelayShortWorkWithinTheTarget)
    {
        LoadExperimentSettings settings = settingsFor(GetParam(), 1);
        settings.m_end = Instant { std::chrono::seconds { 320 } };
        const LoadResult with = LoadExperiment(settings, productPolicies()).run();
        settings.m_hasStragglers = false;
        const LoadResult without = LoadExperiment(settings, productPolicies()).run();
        EXPECT_LE(with.m_shortP99, c_maxStragglerRatio * without.m_shortP99);
    }

    LoadExperimentSettings loadSpikeSettings(std::string_view profile, std::size_t service)
    {
        LoadExperimentSettings settings = settingsFor(profile, service);
        settings.m_loadSpike = { 10, Instant { std::chrono::seconds { 22 } }, Instant { std::chrono::seconds { 24 } },
            Instant { std::chrono::seconds { 44 } } };
        settings.m_end = Instant { std::chrono::seconds { 50 } };
        return settings;
    }

    TEST_P(LoadExperimentProfile, duringALoadSpikeAdmittedWorkMeetsItsDeadlineOnEachService)
    {
        for (const std::size_t service : { 0U, 1U }) {
            const LoadResult result = LoadExperiment(loadSpikeSettings(GetParam(), service), productPolicies()).run();
            EXPECT_GT(result.m_forcedRefusals, 0);
            EXPECT_GE(result.m_inDeadlineShare, c_minInDeadlineShare) << service;
        }
    }

    TEST_P(LoadExperimentProfile, duringALoadSpikeRefusalsOfTheLargeServiceMatchCapacity)
    {
        const LoadResult result = LoadExperiment(loadSpikeSettings(GetParam(), 0), productPolicies()).run();
        EXPECT_LE(std::abs(result.excessRefusals()), c_maxExcessRefusals);
        EXPECT_EQ(result.m_refusedByBackend, 0);
        EXPECT_LE(result.m_worstImbalance, c_maxImbalance);
    }

    TEST_P(LoadExperimentProfile, duringALoadSpikeBaselinesMissTheDeadline)
    {
        const LoadResult result = LoadExperiment(loadSpikeSettings(GetParam(), 0), baselinePolicies()).run();
        EXPECT_LT(result.m_inDeadlineShare, c_minInDeadlineShare);
    }

    INSTANTIATE_TEST_SUITE_P(Profiles, LoadExperimentProfile, ::testing::Values("shirakaba", "kalahari"));

    TEST_P(LoadExperimentProfile, atNormalLoadFewRequestsAreRefused)
    {
        LoadExperimentSettings settings = settingsFor(GetParam(), 1);
        settings.m_end = Instant { std::chrono::seconds { 320 } };
        const LoadResult result = LoadExperiment(settings, productPolicies()).run();
        EXPECT_EQ(result.m_forcedRefusals, 0);
        EXPECT_LE(static_cast<double>(result.refusals()), 0.01 * static_cast<double>(result.m_offered));
    }

    TEST_P(LoadExperimentProfile, aBackendServerThatReportsNoLoadIsNotOverloaded)
    {
        LoadExperimentSettings settings = settingsFor(GetParam(), 0);
        settings.m_misreportingBackend = 3;
        const LoadResult result = LoadExperiment(settings, productPolicies()).run();
        EXPECT_LE(result.m_worstImbalance, c_maxImbalance);
        EXPECT_EQ(result.refusals(), 0);
    }

    TEST_P(LoadExperimentProfile, withoutReportsConnectionsStayBalancedAndNothingIsRefused)
    {
        LoadExperimentSettings settings = settingsFor(GetParam(), 0);
        settings.m_probesEnd = Instant { std::chrono::seconds { 30 } };
        const LoadResult result = LoadExperiment(settings, productPolicies()).run();
        EXPECT_LE(result.m_worstImbalance, c_maxImbalance);
        EXPECT_LT(result.m_overrideShare, 0.05);
        EXPECT_EQ(result.refusals(), 0);
    }

    TEST(LoadExperiment, theSameSeedGivesTheSameResult)
    {
        const LoadExperimentSettings settings = settingsFor("shirakaba", 1);
        const LoadResult first = LoadExperiment(settings, productPolicies()).run();
        const LoadResult second = LoadExperiment(settings, productPolicies()).run();
        EXPECT_GT(first.m_offered, 1000);
        EXPECT_EQ(first.m_offered, second.m_offered);
        EXPECT_EQ(first.m_shortP99, second.m_shortP99);
        EXPECT_EQ(first.m_overrideShare, second.m_overrideShare);
    }

    TEST(LoadExperiment, policiesDoNotChangeTheArrivals)
    {
        const LoadExperimentSettings settings = settingsFor("kalahari", 1);
        const LoadResult product = LoadExperiment(settings, productPolicies()).run();
        const LoadResult baseline = LoadExperiment(settings, baselinePolicies()).run();
        EXPECT_EQ(product.m_offered, baseline.m_offered);
        EXPECT_EQ(product.m_forcedRefusals, baseline.m_forcedRefusals);
        EXPECT_EQ(baseline.m_overrideShare, 0);
    }

    TEST(LoadProfile, leavingOutStragglersChangesNoOtherWork)
    {
        const ServiceLoad load = findServiceLoads("shirakaba")[1];
        const Instant end { std::chrono::seconds { 200 } };
        std::vector<Work> with = makeWork(load, {}, true, end, c_seed);
        const std::vector<Work> without = makeWork(load, {}, false, end, c_seed);
        EXPECT_GT(std::erase_if(with, [](const Work& work) { return work.m_kind == WorkKind::Straggler; }), 0);
        ASSERT_EQ(with.size(), without.size());
        for (std::size_t i = 0; i < with.size(); ++i)
            ASSERT_EQ(with[i].m_flowHash, without[i].m_flowHash);
    }

    TEST(LoadProfile, aLoadSpikeMultipliesTheArrivals)
    {
        const LoadSpike loadSpike { 10, Instant { std::chrono::seconds { 10 } },
            Instant { std::chrono::seconds { 12 } }, Instant { std::chrono::seconds { 20 } } };
        EXPECT_EQ(loadSpike.factorAt(Instant { std::chrono::seconds { 5 } }), 1);
        EXPECT_DOUBLE_EQ(loadSpike.factorAt(Instant { std::chrono::seconds { 11 } }), 5.5);
        EXPECT_EQ(loadSpike.factorAt(Instant { std::chrono::seconds { 15 } }), 10);
        EXPECT_EQ(loadSpike.factorAt(Instant { std::chrono::seconds { 20 } }), 1);
        EXPECT_TRUE(findServiceLoads("nobody").empty());
    }

    TEST(BackendModel, runsWorkInOrderInItsSlots)
    {
        BackendModel backend({ 1, 1 }, 2, 3);
        for (WorkIndex work = 0; work < 3; ++work) {
            EXPECT_TRUE(backend.connect());
            backend.enqueue(work);
        }
        EXPECT_FALSE(backend.connect());
        EXPECT_EQ(backend.startNext(), 0);
        EXPECT_EQ(backend.startNext(), 1);
        EXPECT_EQ(backend.startNext(), std::nullopt);
        EXPECT_EQ(backend.report({}).m_queued, 1);
        EXPECT_EQ(backend.report({}).m_busySlots, 2);
        backend.freeSlot();
        EXPECT_EQ(backend.startNext(), 2);
    }

} // namespace
} // namespace cuminrelay
