#include "affinity/ContestedFlows.h"

#include "affinity/BackendCatalog.h"

#include <gtest/gtest.h>
#include <set>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 100 } };
    constexpr FlowHash c_flow { 7 };
    constexpr std::uint32_t c_sequence = 50;
    constexpr BackendToken c_first { 1 };
    constexpr BackendToken c_second { 2 };

    TEST(ContestedFlowsTest, theFirstTokenDecides)
    {
        ContestedFlows flows { 1 };
        EXPECT_EQ(flows.resolve(c_flow, c_first, c_start), BackendToken {}); // not contested
        flows.add(c_flow, c_sequence, c_start);
        EXPECT_EQ(flows.resolve(c_flow, {}, c_start), BackendToken {});
        EXPECT_EQ(flows.resolve(c_flow, c_second, c_start), c_second);
        EXPECT_EQ(flows.resolve(c_flow, c_first, c_start), c_second);
    }

    TEST(ContestedFlowsTest, whatWasFoundHereTakesPrecedence)
    {
        ContestedFlows flows { 1 };
        flows.add(c_flow, c_sequence, c_start);
        flows.apply({ c_flow, c_sequence, c_first }, c_start);
        EXPECT_EQ(flows.resolve(c_flow, c_second, c_start), c_first);
        flows.apply({ c_flow, c_sequence, c_second }, c_start);
        EXPECT_EQ(flows.resolve(c_flow, {}, c_start), c_first);
    }

    TEST(ContestedFlowsTest, anotherFlowOfTheSameAddressesIsNotContested)
    {
        ContestedFlows flows { 1 };
        flows.apply({ c_flow, c_sequence, c_first }, c_start);
        flows.removeIfReused(c_flow, c_sequence);
        EXPECT_EQ(flows.resolve(c_flow, c_second, c_start), c_first);
        flows.removeIfReused(c_flow, c_sequence + 1'000);
        EXPECT_EQ(flows.resolve(c_flow, c_second, c_start), BackendToken {});
    }

    TEST(ContestedFlowsTest, eachChangeIsPassedOnOnce)
    {
        ContestedFlows origin { 1 };
        ContestedFlows other { 2 };
        origin.add(c_flow, c_sequence, c_start);
        for (const ContestedFlow& flow : origin.takeForMessage(6))
            other.apply(flow, c_start);
        EXPECT_TRUE(other.hasChanges());
        EXPECT_EQ(other.takeForMessage(6), (std::vector<ContestedFlow> { { c_flow, c_sequence, {} } }));
        EXPECT_FALSE(other.hasChanges());
        EXPECT_TRUE(other.takeForMessage(6).empty()); // only the VM that saw it repeats it
        EXPECT_EQ(origin.takeForMessage(6).size(), 1u);
        origin.resolve(c_flow, c_second, c_start);
        EXPECT_TRUE(origin.hasChanges());
    }

    TEST(ContestedFlowsTest, messagesListAllOwnFlowsInTime)
    {
        ContestedFlows flows { 1 };
        for (std::uint64_t i = 0; i < 100; ++i)
            flows.add({ i }, c_sequence, c_start);
        std::set<std::uint64_t> listed;
        for (int message = 0; message < 500; ++message) {
            const std::vector<ContestedFlow> content = flows.takeForMessage(6);
            ASSERT_LE(content.size(), 6u);
            // A receiver that gets every second message only must receive all, too.
            for (const ContestedFlow& flow :
                message > 100 && message % 2 == 0 ? content : std::vector<ContestedFlow> {})
                listed.insert(flow.m_flow.m_value);
        }
        EXPECT_EQ(listed.size(), 100u);
    }

    TEST(ContestedFlowsTest, flowsAreForgottenAfterTheirMaximumLifetime)
    {
        ContestedFlows flows { 1 };
        flows.add(c_flow, c_sequence, c_start);
        flows.sweep(c_start + c_departedRetention);
        EXPECT_EQ(flows.size(), 0u);
        EXPECT_TRUE(flows.takeForMessage(6).empty());
    }

    TEST(ContestedFlowsTest, theNumberOfFlowsIsLimited)
    {
        ContestedFlows flows { 1 };
        for (std::uint64_t i = 0; i <= ContestedFlows::s_maxFlows; ++i)
            flows.add({ i }, c_sequence, c_start);
        EXPECT_EQ(flows.size(), ContestedFlows::s_maxFlows);
        EXPECT_EQ(flows.resolve({ ContestedFlows::s_maxFlows }, c_first, c_start), BackendToken {});
    }

} // namespace
} // namespace cuminrelay
