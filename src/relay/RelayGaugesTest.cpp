#include "relay/RelayGauges.h"

#include "affinity/NullRouterObserver.h"
#include "placement/LeastWorkPlacement.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_now { std::chrono::seconds { 100 } };

    AnnouncedBackend backendOf(std::uint64_t identity, bool draining)
    {
        AnnouncedBackend backend;
        backend.m_identity = { identity };
        backend.m_server.m_zone = "a";
        backend.m_server.m_draining = draining;
        return backend;
    }

    class RelayGaugesTest : public testing::Test {
    protected:
        double gaugeValue(std::string_view name, std::string_view state = {})
        {
            return m_metrics.gauge(name, state).value();
        }

        LeastWorkPlacement m_placement;
        NullRouterObserver m_observer;
        TokenRouter m_router { { "a" }, m_placement, m_observer };
        Metrics m_metrics;
        RelayGauges m_gauges { m_metrics };
    };

    TEST_F(RelayGaugesTest, gaugesOfAnEmptyRouterShowNoData)
    {
        m_gauges.update(m_router, {}, c_now);
        EXPECT_EQ(gaugeValue("cuminrelay_knowledge_age_seconds"), -1);
        EXPECT_EQ(gaugeValue("cuminrelay_config_version"), 0);
        EXPECT_EQ(gaugeValue("cuminrelay_ready"), 0);
    }

    TEST_F(RelayGaugesTest, eachBackendServerCountsInOneState)
    {
        m_router.backends().announce(backendOf(1, false), c_now);
        m_router.backends().announce(backendOf(2, false), c_now);
        m_router.backends().announce(backendOf(3, true), c_now);
        m_router.backends().announce(backendOf(4, false), c_now);
        m_router.backends().withdraw({ 4 }, c_now);
        m_gauges.update(m_router, { true, false, c_now - std::chrono::milliseconds { 500 }, 2, 7 }, c_now);
        EXPECT_EQ(gaugeValue("cuminrelay_backends", "ready"), 2);
        EXPECT_EQ(gaugeValue("cuminrelay_backends", "draining"), 1);
        EXPECT_EQ(gaugeValue("cuminrelay_backends", "lapsed"), 1);
        EXPECT_EQ(gaugeValue("cuminrelay_knowledge_age_seconds"), 0.5);
        EXPECT_EQ(gaugeValue("cuminrelay_peers", "own_zone"), 2);
        EXPECT_EQ(gaugeValue("cuminrelay_peers", "all"), 7);
    }

    TEST_F(RelayGaugesTest, anEvacuationHasItsAgeAndItsEndIsShown)
    {
        RelayStatus status;
        status.m_evacuatedSince = { { "b", c_now - std::chrono::seconds { 3 } } };
        m_gauges.update(m_router, status, c_now);
        EXPECT_EQ(gaugeValue("cuminrelay_evacuated_zones"), 1);
        EXPECT_EQ(gaugeValue("cuminrelay_evacuation_age_seconds", "b"), 3);
        m_gauges.update(m_router, {}, c_now);
        EXPECT_EQ(gaugeValue("cuminrelay_evacuated_zones"), 0);
        EXPECT_EQ(gaugeValue("cuminrelay_evacuation_age_seconds", "b"), -1);
    }

    // Flows beyond the limit were left out without a sign.
    TEST_F(RelayGaugesTest, flowsBeyondALimitAreCounted)
    {
        constexpr std::uint64_t tooMany = 3;
        for (std::uint64_t flow = 0; flow < ContestedFlows::s_maxFlows + tooMany; ++flow)
            m_router.contestedFlows().apply({ { flow }, 1, { 1 } }, c_now);
        m_gauges.update(m_router, {}, c_now);
        m_gauges.update(m_router, {}, c_now);
        EXPECT_EQ(m_metrics.counter("cuminrelay_flows_over_limit_total", "contested_flows").value(), tooMany);
    }

} // namespace
} // namespace cuminrelay
