#include "affinity/LocatedFlows.h"

#include "affinity/BackendCatalog.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 100 } };
    constexpr FlowHash c_flow { 7 };
    constexpr LocatedFlow c_located { 0xffffff00, true, BackendToken { 3 }, c_start };

    TEST(LocatedFlowsTest, aFlowIsRememberedForItsLifetime)
    {
        LocatedFlows flows;
        flows.record(c_flow, c_located, c_start);
        flows.sweep(c_start + c_departedRetention - Duration { 1 });
        ASSERT_NE(flows.find(c_flow, 0xffffff01), nullptr);
        EXPECT_EQ(flows.find(c_flow, 0xffffff01)->m_backend, c_located.m_backend);
        flows.sweep(c_start + c_departedRetention);
        EXPECT_EQ(flows.size(), 0u);
    }

    // Of another flow of the same addresses and ports, which starts at a random number (review/11).
    TEST(LocatedFlowsTest, aPacketFarFromTheStartOfTheFlowIsNotOfIt)
    {
        LocatedFlows flows;
        flows.record(c_flow, c_located, c_start);
        EXPECT_NE(flows.find(c_flow, 500), nullptr); // the numbers wrap around
        EXPECT_EQ(flows.find(c_flow, 0xfffffe00), nullptr);
        EXPECT_EQ(flows.find(c_flow, 2'000'000), nullptr);
        EXPECT_NE(flows.findLast(c_flow), nullptr);
    }

    TEST(LocatedFlowsTest, aFlowThatWasOpenedElsewhereMayBeContestedWithALowerNumber)
    {
        const LocatedFlow adopted { 50'000 - c_maxBytesInFlight, false, BackendToken { 3 }, c_start };
        EXPECT_TRUE(adopted.mayBe({ c_flow, 49'999, {} }));
        EXPECT_TRUE(adopted.mayBe({ c_flow, 10'000, {} }));
        EXPECT_FALSE(adopted.mayBe({ c_flow, 90'000, {} }));
        EXPECT_FALSE(c_located.mayBe({ c_flow, 0xfffffeff, {} }));
    }

    TEST(LocatedFlowsTest, theNumberOfFlowsIsLimited)
    {
        LocatedFlows flows;
        for (std::uint64_t i = 0; i < LocatedFlows::s_maxFlows + 5; ++i)
            flows.record({ i }, c_located, c_start);
        EXPECT_EQ(flows.size(), LocatedFlows::s_maxFlows);
    }

} // namespace
} // namespace cuminrelay
