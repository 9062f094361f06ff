#include "pace/ServiceModelTest.h"

#include <array>
#include <cstdio>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <tuple>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // The answers that one VM sees of one server in the smaller and in the grown deployments. The seeds give some
    // thousands of late callers each, so that chance does not decide a comparison.
    const std::array<ModelSite, 2> c_sites { { { "8Vms", 8, 4, 100 }, { "75Vms", 75, 0.2, 400 } } };

    using Before = ModelCase::Before;

    const std::array<ModelCase, 11> c_cases { {
        { "rest", 0, Before::Serving, false, {}, 1, {} },
        { "first_start", 1, Before::Absent, true, seconds { 2 }, 1.6, seconds { 2 } },
        { "restart", 1, Before::Unanswering, true, seconds { 2 }, 1.6, seconds { 2 } },
        { "return_after_silence", 1, Before::Unanswering, false, {}, 1.6, seconds { 2 } },
        { "return_after_errors", 1, Before::Failing, false, {}, 1, {} },
        { "zone_returns", 4, Before::Absent, false, {}, 1.6, seconds { 2 } },
        { "partition_ends", 4, Before::Unanswering, false, {}, 1, {} },
        { "release", 3, Before::Absent, true, seconds { 2 }, 1.6, seconds { 2 } },
        { "slow_for_good", 1, Before::Serving, false, {}, 5, seconds { 60 } },
        { "announced_without_warmup", 1, Before::Absent, true, seconds { 4 }, 1, {} },
        { "warmup_not_announced", 1, Before::Absent, true, {}, 2.5, seconds { 2 } },
    } };

    long long inMs(Duration duration)
    {
        return std::chrono::duration_cast<milliseconds>(duration).count();
    }

    void print(const char* policy, const ModelResult& result)
    {
        std::printf(
            "    %-9s fair share after %4lld ms, longest wait %4lld ms, late %5zu of %zu, longest gap %4lld ms\n",
            policy, inMs(result.m_untilFairShare), inMs(result.m_longestWait), result.m_late, result.m_callers,
            inMs(result.m_longestGap));
    }

    struct Comparison {
        ModelResult m_none;
        ModelResult m_constant;
        ModelResult m_learned;
        ModelResult m_known;
    };

    /// Runs and prints a comparison once for all tests of a case.
    const Comparison& compare(const ModelCase& modelCase, const ModelSite& site)
    {
        static std::map<std::string, Comparison> done;
        const auto [found, isNew] = done.try_emplace(modelCase.m_name + ", " + site.m_name);
        Comparison& comparison = found->second;
        if (isNew) {
            comparison = { runModel(modelCase, ModelPolicy::NoRamp, site),
                runModel(modelCase, ModelPolicy::ConstantFactor, site), runModel(modelCase, ModelPolicy::Learned, site),
                runModel(modelCase, ModelPolicy::Known, site) };
            std::printf("%s\n", found->first.c_str());
            print("no ramp", comparison.m_none);
            print("constant", comparison.m_constant);
            print("learned", comparison.m_learned);
            print("known", comparison.m_known);
        }
        return comparison;
    }

    struct PaceBounds : testing::TestWithParam<std::tuple<ModelCase, ModelSite>> {
        const Comparison& m_compared = compare(std::get<0>(GetParam()), std::get<1>(GetParam()));
    };

    // Guards against a server that stays idle, or overloaded, for too long.
    TEST_P(PaceBounds, fairShareWithinTwiceTheTimeOfAPaceThatKnows)
    {
        EXPECT_LE(m_compared.m_learned.m_untilFairShare, 2 * m_compared.m_known.m_untilFairShare);
    }

    // Guards against an early crowd at a cold server.
    TEST_P(PaceBounds, noMoreLateCallersThanWithTheConstantFactor)
    {
        EXPECT_LE(m_compared.m_learned.m_late, m_compared.m_constant.m_late);
    }

    // Guards against a server that gets no flows, and so cannot show that it is fast again.
    TEST_P(PaceBounds, noServerIsLeftWithoutFlowsForLong)
    {
        EXPECT_LE(m_compared.m_learned.m_longestGap, 2 * m_compared.m_none.m_longestGap);
    }

    INSTANTIATE_TEST_SUITE_P(PaceTest, PaceBounds,
        testing::Combine(testing::ValuesIn(c_cases), testing::ValuesIn(c_sites)),
        [](const auto& tested) { return std::get<0>(tested.param).m_name + "_" + std::get<1>(tested.param).m_name; });

} // namespace
} // namespace cuminrelay
