#include "placement/LeastWorkPlacement.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
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
