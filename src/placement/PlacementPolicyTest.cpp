#include "backends/Eligibility.h"
#include "base/Hash.h"
#include "placement/BoundedLoadPlacement.h"
#include "placement/DefaultOnlyPlacement.h"
#include "placement/LeastConnectionsPlacement.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Instant c_afterColdStart = c_start + std::chrono::minutes { 10 };
    constexpr std::uint32_t c_connectionLimit = 2000;
    constexpr std::uint64_t c_flowCount = 3000;

    Endpoint backendAt(std::size_t index)
    {
        return { 0x0a000001 + static_cast<std::uint32_t>(index), 4000 };
    }

    /// Backend servers past their cold start, with fresh reports of equal load.
    class Service {
    public:
        explicit Service(std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i) {
                m_backends.push_back(backendAt(i));
                m_backendStatuses.declare(backendAt(i), 2, c_connectionLimit, false, c_start);
                report(i, { .m_connections = 100 });
            }
        }

        void report(std::size_t index, BackendReport report)
        {
            report.m_backend = backendAt(index);
            report.m_measuredAt = m_nextMeasurement;
            m_nextMeasurement += Duration { 1 };
            m_backendStatuses.apply(report);
        }

        PlacementRequest requestFor(std::uint64_t flow) const
        {
            const std::uint64_t hash = hashPair(flow, 7);
            return { m_backends, m_backends[hash % m_backends.size()], hash };
        }

        /// Places c_flowCount flows without recording them; returns the flows per backend server.
        std::map<Endpoint, std::size_t> distribute(PlacementPolicy& policy, Instant now) const
        {
            std::map<Endpoint, std::size_t> counts;
            for (std::uint64_t flow = 0; flow < c_flowCount; ++flow) {
                const std::optional<Endpoint> chosen = policy.choose(requestFor(flow), m_backendStatuses, now);
                if (chosen)
                    ++counts[*chosen];
            }
            return counts;
        }

        std::vector<Endpoint> m_backends;
        BackendStatusTable m_backendStatuses;
        Instant m_nextMeasurement = c_afterColdStart;
    };

    TEST(DefaultOnlyPlacement, takesTheDefaultWhateverItsState)
    {
        Service service(3);
        service.report(0, { .m_health = BackendHealth::Unhealthy });
        DefaultOnlyPlacement policy;
        const PlacementRequest request { service.m_backends, backendAt(0), 5 };
        EXPECT_EQ(policy.choose(request, service.m_backendStatuses, c_afterColdStart), backendAt(0));
        EXPECT_EQ(policy.choose({ {}, backendAt(0), 5 }, service.m_backendStatuses, c_afterColdStart), std::nullopt);
    }

    TEST(LeastConnectionsPlacement, takesTheFewestConnections)
    {
        Service service(3);
        service.report(1, { .m_connections = 50 });
        service.report(2, { .m_health = BackendHealth::Unhealthy, .m_connections = 0 });
        LeastConnectionsPlacement policy;
        EXPECT_EQ(policy.choose(service.requestFor(1), service.m_backendStatuses, c_afterColdStart), backendAt(1));
    }

    TEST(BoundedLoadPlacement, evenLoadMakesNoOverrides)
    {
        const Service service(15);
        BoundedLoadPlacement policy;
        for (std::uint64_t flow = 0; flow < c_flowCount; ++flow) {
            const PlacementRequest request = service.requestFor(flow);
            ASSERT_EQ(policy.choose(request, service.m_backendStatuses, c_afterColdStart), request.m_default);
        }
    }

    TEST(BoundedLoadPlacement, ineligibleBackendServersGetNothingAndTheRestShareTheFlows)
    {
        Service service(15);
        service.report(0, { .m_health = BackendHealth::Unhealthy });
        service.report(1, { .m_health = BackendHealth::Partitioned });
        service.report(2, { .m_shedding = true });
        service.report(3, { .m_connections = c_connectionLimit });
        service.m_backendStatuses.declare(backendAt(4), 2, c_connectionLimit, true, c_afterColdStart);
        BoundedLoadPlacement policy;
        const std::map<Endpoint, std::size_t> counts = service.distribute(policy, c_afterColdStart);
        EXPECT_EQ(counts.size(), 10);
        for (std::size_t i = 0; i < 5; ++i)
            EXPECT_FALSE(counts.contains(backendAt(i))) << i;
    }

    TEST(BoundedLoadPlacement, noEligibleBackendServerIsNoChoice)
    {
        Service service(2);
        service.report(0, { .m_health = BackendHealth::Unhealthy });
        service.report(1, { .m_health = BackendHealth::Unhealthy });
        BoundedLoadPlacement policy;
        EXPECT_EQ(policy.choose(service.requestFor(1), service.m_backendStatuses, c_afterColdStart), std::nullopt);
    }

    TEST(BoundedLoadPlacement, aBackendServerClearlyAboveTheMeanGetsNoNewFlows)
    {
        Service service(15);
        service.report(0, { .m_connections = 150 });
        BoundedLoadPlacement policy;
        EXPECT_FALSE(service.distribute(policy, c_afterColdStart).contains(backendAt(0)));
    }

    TEST(BoundedLoadPlacement, ownOpeningsCountBeforeTheNextReport)
    {
        Service service(15);
        service.m_backendStatuses.setOwnerCount(8);
        for (int i = 0; i < 10; ++i)
            service.m_backendStatuses.recordOpened(backendAt(0), c_afterColdStart + std::chrono::milliseconds { 100 });
        service.m_backendStatuses.recordAnsweredOpening(backendAt(0));
        BoundedLoadPlacement policy;
        const Instant now = c_afterColdStart + std::chrono::milliseconds { 200 };
        EXPECT_FALSE(service.distribute(policy, now).contains(backendAt(0)));
    }

    TEST(BoundedLoadPlacement, ownStragglersKeepNewWorkAway)
    {
        Service service(4);
        service.m_backendStatuses.recordStraggler(backendAt(2));
        BoundedLoadPlacement policy;
        EXPECT_FALSE(service.distribute(policy, c_afterColdStart).contains(backendAt(2)));
        service.m_backendStatuses.recordClosed(backendAt(2), true, c_afterColdStart);
        EXPECT_TRUE(service.distribute(policy, c_afterColdStart).contains(backendAt(2)));
    }

    TEST(BoundedLoadPlacement, everyFlowIsPlacedWhileAllHaveStragglers)
    {
        Service service(4);
        for (std::size_t i = 0; i < 4; ++i)
            service.m_backendStatuses.recordStraggler(backendAt(i));
        BoundedLoadPlacement policy;
        EXPECT_EQ(service.distribute(policy, c_afterColdStart).size(), 4);
    }

    TEST(BoundedLoadPlacement, aQueueKeepsNewWorkAwayWhileHalfOfTheOthersAreIdle)
    {
        Service service(4);
        service.report(0, { .m_connections = 1, .m_busySlots = 1 });
        service.report(1, { .m_connections = 7, .m_busySlots = 2, .m_queued = 5 });
        service.report(2, { .m_connections = 16, .m_busySlots = 2, .m_queued = 14 });
        service.report(3, { .m_connections = 0 });
        BoundedLoadPlacement policy;
        const std::map<Endpoint, std::size_t> counts = service.distribute(policy, c_afterColdStart);
        EXPECT_EQ(counts.size(), 2);
        EXPECT_TRUE(counts.contains(backendAt(0)));
        EXPECT_TRUE(counts.contains(backendAt(3)));
    }

    TEST(BoundedLoadPlacement, aFullyOccupiedBackendServerGetsNothingWhileAllHaveStragglers)
    {
        Service service(4);
        for (std::size_t i = 0; i < 4; ++i)
            service.m_backendStatuses.recordStraggler(backendAt(i));
        service.m_backendStatuses.recordStraggler(backendAt(2));
        BoundedLoadPlacement policy;
        const std::map<Endpoint, std::size_t> counts = service.distribute(policy, c_afterColdStart);
        EXPECT_EQ(counts.size(), 3);
        EXPECT_FALSE(counts.contains(backendAt(2)));
    }

    TEST(BoundedLoadPlacement, slotsBusyInConsecutiveReportsCountAsOccupiedByStragglers)
    {
        Service service(4);
        for (std::size_t i = 0; i < 4; ++i)
            service.report(i, { .m_connections = 1 });
        constexpr int reports = 5;
        for (int report = 0; report < reports; ++report) {
            service.report(1, { .m_connections = 1, .m_busySlots = 1 });
            service.report(2, { .m_connections = 2, .m_busySlots = 2 });
        }
        BoundedLoadPlacement policy;
        std::map<Endpoint, std::size_t> counts = service.distribute(policy, c_afterColdStart);
        EXPECT_FALSE(counts.contains(backendAt(2)));
        EXPECT_GT(counts[backendAt(1)], 0);
        EXPECT_LT(counts[backendAt(1)], counts[backendAt(0)]);
        service.report(2, { .m_connections = 0 });
        EXPECT_TRUE(service.distribute(policy, c_afterColdStart).contains(backendAt(2)));
    }

    TEST(BoundedLoadPlacement, aColdBackendServerGetsAGrowingShare)
    {
        Service service(15);
        service.m_backendStatuses.declare(backendAt(15), 2, c_connectionLimit, false, c_afterColdStart);
        service.m_backends.push_back(backendAt(15));
        const Deadline coldStartEnds = service.m_backendStatuses.find(backendAt(15))->m_coldStartEnds;
        const std::size_t evenShare = c_flowCount / 16;
        BoundedLoadPlacement policy;
        std::map<Endpoint, std::size_t> early = service.distribute(policy, c_afterColdStart);
        service.report(15, {});
        std::map<Endpoint, std::size_t> middle
            = service.distribute(policy, c_afterColdStart + (coldStartEnds - c_afterColdStart) / 2);
        EXPECT_LT(early[backendAt(15)], evenShare / 3);
        EXPECT_GT(early[backendAt(15)], 0);
        EXPECT_GT(middle[backendAt(15)], early[backendAt(15)]);
        EXPECT_LT(middle[backendAt(15)], evenShare);
    }

    TEST(BoundedLoadPlacement, unansweredOpeningsLeaveASmallShareUnlessMostAreUnresponsive)
    {
        Service service(15);
        for (int i = 0; i < 3; ++i)
            service.m_backendStatuses.recordOpened(backendAt(0), c_afterColdStart);
        const Instant later = c_afterColdStart + std::chrono::seconds { 4 };
        BoundedLoadPlacement policy;
        std::map<Endpoint, std::size_t> counts = service.distribute(policy, later);
        EXPECT_GT(counts[backendAt(0)], 0);
        EXPECT_LT(counts[backendAt(0)], c_flowCount / 15 / 4);
        for (std::size_t backend = 0; backend < 15; ++backend)
            for (int i = 0; i < 3; ++i)
                service.m_backendStatuses.recordOpened(backendAt(backend), c_afterColdStart);
        EXPECT_GT(service.distribute(policy, later)[backendAt(0)], c_flowCount / 15 / 2);
    }

    RC_GTEST_PROP(BoundedLoadPlacement, choosesAnEligibleBackendServerIfThereIsOne,
        (const std::vector<std::uint8_t>& states, std::uint64_t flow))
    {
        RC_PRE(!states.empty());
        Service service(states.size());
        for (std::size_t i = 0; i < states.size(); ++i) {
            service.report(i,
                { .m_health = static_cast<BackendHealth>(states[i] % 3),
                    .m_shedding = (states[i] & 4U) != 0,
                    .m_connections = states[i] * 10U,
                    .m_busySlots = 2,
                    .m_queued = states[i] });
            if ((states[i] & 8U) != 0)
                service.m_backendStatuses.recordStraggler(backendAt(i));
        }
        bool anyEligible = false;
        for (const Endpoint backend : service.m_backends)
            anyEligible = anyEligible
                || eligibilityOf(service.m_backendStatuses.find(backend), service.m_backendStatuses, c_afterColdStart)
                    == Eligibility::Eligible;
        BoundedLoadPlacement policy;
        const std::optional<Endpoint> chosen
            = policy.choose(service.requestFor(flow), service.m_backendStatuses, c_afterColdStart);
        RC_ASSERT(chosen.has_value() == anyEligible);
        if (chosen)
            RC_ASSERT(
                eligibilityOf(service.m_backendStatuses.find(*chosen), service.m_backendStatuses, c_afterColdStart)
                == Eligibility::Eligible);
    }

} // namespace
} // namespace cuminrelay
