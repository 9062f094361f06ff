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

    TEST_F(RelayGaugesTest, backendServersCountByTheReasonOfTheirPace)
    {
        TokenRouter router { { .m_zone = "a", .m_learnsPace = true }, m_placement, m_observer };
        AnnouncedBackend starting = backendOf(1, false);
        starting.m_warmAt = c_now + std::chrono::seconds { 2 };
        router.backends().announce(starting, c_now);
        router.backends().announce(backendOf(2, false), c_now);
        router.backends().announce(backendOf(3, true), c_now);
        m_gauges.update(router, {}, c_now);
        EXPECT_EQ(gaugeValue("cuminrelay_backend_pace", "starting"), 1);
        EXPECT_EQ(gaugeValue("cuminrelay_backend_pace", "steady"), 1);
        EXPECT_EQ(gaugeValue("cuminrelay_backend_pace", "slow"), 0);
    }

    // Flows beyond the limit were left out without a sign.
    TEST_F(RelayGaugesTest, flowsBeyondALimitAreCounted)
    {
        constexpr std::uint64_t tooMany = 3;
        for (std::uint64_t flow = 0; flow < ContestedFlows::s_maxFlows + tooMany; ++flow)
            m_router.contestedFlows().apply({ { { flow }, 1, { 1 } }, {} }, c_now);
        m_gauges.update(m_router, {}, c_now);
        m_gauges.update(m_router, {}, c_now);
        EXPECT_EQ(m_metrics.counter("cuminrelay_flows_over_limit_total", "contested_flows").value(), tooMany);
    }

    TEST_F(RelayGaugesTest, theWarmupBudgetIsShown)
    {
        constexpr Endpoint service { 0xc6120001, 443 };
        const Selector selector { { { "app", SelectorOperator::Equals, { "feeds" } } } };
        TokenRouter router { { "a", 10, std::chrono::seconds { 2 }, false, WarmupBounds { 1.5, 5 }, {}, c_now },
            m_placement, m_observer };
        ServiceDeclarations declarations;
        declarations.m_version = { 1 };
        declarations.m_services = { { "feeds", service, RequestKind::Idempotent, { { selector, 1 } } } };
        declarations.m_warmups = { { selector, std::chrono::seconds { 2 }, 10 } };
        router.applyDeclarations(declarations, c_now);
        AnnouncedBackend backend = backendOf(1, false);
        backend.m_server.m_labels.emplace("app", "feeds");
        backend.m_warmAt = c_now + std::chrono::seconds { 2 };
        router.announceBackend(backend, c_now);
        PacketSummary packet;
        packet.m_flow.m_service = service;
        packet.m_kind = PacketKind::Opening;
        PacketAction action;
        router.decide({ &packet, 1 }, { &action, 1 }, c_now); // this VM has just started, and has no permit
        m_gauges.update(router, {}, c_now);
        m_gauges.update(router, {}, c_now);
        EXPECT_EQ(action.m_reason, Reason::WarmupBudget);
        EXPECT_EQ(gaugeValue("cuminrelay_cold_backends"), 1);
        EXPECT_EQ(m_metrics.counter("cuminrelay_warmup_total", "left_out").value(), 1u);
        EXPECT_EQ(m_metrics.counter("cuminrelay_warmup_total", "permit_used").value(), 0u);
    }

} // namespace
} // namespace cuminrelay
