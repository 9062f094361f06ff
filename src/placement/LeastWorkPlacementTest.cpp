#include "placement/LeastWorkPlacement.h"
#include "base/Hash.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    FlowCandidate makeCandidate(std::uint32_t active, std::uint32_t longFlows = 0, bool isInLocalZone = true)
    {
        FlowCandidate candidate;
        candidate.m_isInLocalZone = isInLocalZone;
        candidate.m_slots = 2;
        candidate.m_activeRequests = active;
        candidate.m_longFlows = longFlows;
        return candidate;
    }

    std::size_t choose(const std::vector<FlowCandidate>& candidates, bool isLong = false, std::uint64_t draw = 1)
    {
        return LeastWorkPlacement {}.choose(candidates, { isLong, draw });
    }

    TEST(LeastWorkPlacementTest, shortFlowsTakeTheFewestActiveRequests)
    {
        EXPECT_EQ(choose({ makeCandidate(2, 0), makeCandidate(1, 9), makeCandidate(3, 0) }), 1u);
    }

    TEST(LeastWorkPlacementTest, longFlowsTakeTheFewestLongFlows)
    {
        EXPECT_EQ(choose({ makeCandidate(0, 9), makeCandidate(2, 3) }, true), 1u);
    }

    TEST(LeastWorkPlacementTest, aFreeSlotInTheLocalZoneIsPreferredToAnIdleServerInAnotherZone)
    {
        EXPECT_EQ(choose({ makeCandidate(1), makeCandidate(0, 0, false) }), 0u);
        EXPECT_EQ(choose({ makeCandidate(4), makeCandidate(0, 0, false) }), 1u);
    }

    TEST(LeastWorkPlacementTest, equalCandidatesShareTheFlows)
    {
        std::vector<int> chosen(4);
        for (std::uint64_t draw = 0; draw < 4'000; ++draw)
            ++chosen[choose(std::vector<FlowCandidate>(4, makeCandidate(1)), false, draw)];
        EXPECT_GT(*std::min_element(chosen.begin(), chosen.end()), 850);
    }

    /// The choice by load and zone alone, with the factor of an announced warm-up.
    std::size_t chooseByLoad(const std::vector<FlowCandidate>& candidates, bool isLong, std::uint64_t draw)
    {
        std::vector<double> works;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const FlowCandidate& candidate = candidates[i];
            const double requests = isLong ? candidate.m_longFlows + 1.0 * candidate.m_activeRequests
                                           : candidate.m_activeRequests + 0.03 * candidate.m_longFlows;
            const double surcharge = candidate.m_isInLocalZone ? 0 : isLong ? 4 : 1;
            const double tie = static_cast<double>(hashPair(draw, i) >> 11U) / 9007199254740992.0;
            works.push_back(candidate.m_workFactor * requests / candidate.m_slots + surcharge + 1e-3 * tie);
        }
        return static_cast<std::size_t>(std::min_element(works.begin(), works.end()) - works.begin());
    }

    // Guards the placement of deployments that do not request the pace.
    RC_GTEST_PROP(LeastWorkPlacementTest, withoutShareAndAddedRequestsTheChoiceIsByLoad,
        (const std::vector<std::uint16_t>& states, bool isLong, std::uint64_t draw))
    {
        RC_PRE(!states.empty());
        std::vector<FlowCandidate> candidates;
        for (const std::uint16_t state : states) {
            candidates.push_back(makeCandidate(state % 8, state / 8 % 16, state / 128 % 2 == 0));
            candidates.back().m_workFactor = state / 256 % 2 == 0 ? 1 : 1.6;
        }
        RC_ASSERT(choose(candidates, isLong, draw) == chooseByLoad(candidates, isLong, draw));
    }

    // Guards against a crowd at a backend server that looks idle because its load is not known yet.
    TEST(LeastWorkPlacementTest, aShareHoldsWhateverTheLoad)
    {
        std::vector<FlowCandidate> candidates(10, makeCandidate(2));
        candidates[3] = makeCandidate(0);
        candidates[3].m_share = 1;
        int count = 0;
        for (std::uint64_t draw = 0; draw < 10'000; ++draw)
            count += choose(candidates, false, draw) == 3 ? 1 : 0;
        EXPECT_NEAR(count, 1'000, 100);
    }

    // Guards against an overload that the known load shows already.
    TEST(LeastWorkPlacementTest, aShareDoesNotHoldAboveTheMeanLoad)
    {
        std::vector<FlowCandidate> candidates(10, makeCandidate(2));
        candidates[3] = makeCandidate(6);
        candidates[3].m_share = 1;
        for (std::uint64_t draw = 0; draw < 1'000; ++draw)
            ASSERT_NE(choose(candidates, false, draw), 3u);
    }

    TEST(LeastWorkPlacementTest, flowsArePlacedIfAllCandidatesHaveSmallShares)
    {
        std::vector<FlowCandidate> candidates(3, makeCandidate(1));
        for (FlowCandidate& candidate : candidates)
            candidate.m_share = 0.1;
        candidates[1].m_activeRequests = 0;
        std::vector<int> chosen(3);
        for (std::uint64_t draw = 0; draw < 1'000; ++draw)
            ++chosen[choose(candidates, false, draw)];
        EXPECT_GT(chosen[1], 900);
    }

    // Load spike on a service: 14 servers with 2 slots, 25 ms of work per request in the mean, 75% utilization. 99% of
    // the requests have to be answered within the latency objective of 150 ms. The baseline is a forwarder without load
    // information, which takes a random server.
    struct LoadSpike {
        explicit LoadSpike(std::uint64_t seed)
            : m_random(seed)
        {
        }

        /// Returns the fraction of requests answered after their latency objective.
        double lateFraction(bool leastWork)
        {
            constexpr int servers = 14;
            constexpr int requests = 20'000;
            constexpr double meanWork = 25;
            constexpr double utilization = 0.75;
            constexpr double latencyObjective = 150;
            std::vector<std::vector<double>> slots(servers, std::vector<double>(2, 0.0));
            std::exponential_distribution<double> arrival { utilization * servers * 2 / meanWork };
            std::exponential_distribution<double> work { 1 / meanWork };
            double now = 0;
            int count = 0;
            std::vector<std::vector<double>> ends(servers);
            for (int i = 0; i < requests; ++i) {
                now += arrival(m_random);
                std::vector<FlowCandidate> candidates;
                for (std::vector<double>& open : ends) {
                    std::erase_if(open, [now](double end) { return end <= now; });
                    candidates.push_back(makeCandidate(static_cast<std::uint32_t>(open.size())));
                }
                const std::uint64_t draw = m_random();
                const std::size_t server = leastWork ? choose(candidates, false, draw) : draw % servers;
                const auto slot = std::min_element(slots[server].begin(), slots[server].end());
                const double begin = std::max(now, *slot);
                const double duration = work(m_random);
                *slot = begin + duration;
                ends[server].push_back(*slot);
                count += *slot - now > latencyObjective ? 1 : 0;
            }
            return static_cast<double>(count) / requests;
        }

        std::mt19937_64 m_random;
    };

    TEST(LeastWorkPlacementTest, latencyObjectiveIsMetDuringALoadSpike)
    {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            EXPECT_LT(LoadSpike { seed }.lateFraction(true), 0.01);
            EXPECT_GT(LoadSpike { seed }.lateFraction(false), 0.03);
        }
    }

} // namespace
} // namespace cuminrelay
