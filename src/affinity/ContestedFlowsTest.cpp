#include "affinity/ContestedFlows.h"

#include "affinity/BackendCatalog.h"

#include <array>
#include <gtest/gtest.h>
#include <set>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 100 } };
    constexpr FlowHash c_flow { 7 };
    constexpr std::uint32_t c_sequence = 50;
    constexpr BackendToken c_first { 1 };
    constexpr BackendToken c_second { 2 };

    /// Where a flow is open according to its record; 0: unknown, or not contested.
    BackendToken openBackend(const ContestedFlows& flows, FlowHash flow = c_flow,
        std::uint32_t sequence = c_sequence + 1, Instant now = c_start)
    {
        const ContestedFlow* const found = flows.find(flow, sequence, now);
        return found ? found->m_backend : BackendToken {};
    }

    TEST(ContestedFlowsTest, onlyAContestedFlowIsResolved)
    {
        ContestedFlows flows { 1, c_start };
        flows.resolve(c_flow, c_first, c_start);
        EXPECT_EQ(openBackend(flows), BackendToken {}); // not contested
        flows.add(c_flow, c_sequence, c_start);
        EXPECT_EQ(openBackend(flows), BackendToken {});
        flows.resolve(c_flow, c_second, c_start);
        EXPECT_EQ(openBackend(flows), c_second);
    }

    TEST(ContestedFlowsTest, whatWasFoundHereTakesPrecedence)
    {
        ContestedFlows flows { 1, c_start };
        flows.add(c_flow, c_sequence, c_start);
        flows.apply({ { c_flow, c_sequence, c_first }, {} }, c_start);
        EXPECT_EQ(openBackend(flows), c_first);
        flows.apply({ { c_flow, c_sequence, c_second }, {} }, c_start);
        EXPECT_EQ(openBackend(flows), c_first);
    }

    // A record outlives its flow (review/11). The next flow of the addresses and ports starts at another number.
    TEST(ContestedFlowsTest, anotherFlowOfTheSameAddressesIsNotContested)
    {
        ContestedFlows flows { 1, c_start };
        flows.apply({ { c_flow, c_sequence, c_first }, {} }, c_start);
        EXPECT_EQ(openBackend(flows, c_flow, c_sequence + 1'000'000), c_first);
        EXPECT_EQ(openBackend(flows, c_flow, c_sequence - 1), BackendToken {});
        EXPECT_EQ(openBackend(flows, c_flow, c_sequence + 1'100'000), BackendToken {});
        flows.add(c_flow, c_sequence - 1'000, c_start);
        EXPECT_TRUE(flows.contains(c_flow, c_sequence - 1'000));
        EXPECT_FALSE(flows.contains(c_flow, c_sequence));
    }

    TEST(ContestedFlowsTest, sequenceNumbersWrapAround)
    {
        ContestedFlows flows { 1, c_start };
        flows.apply({ { c_flow, 0xfffffff0, c_first }, {} }, c_start);
        EXPECT_EQ(openBackend(flows, c_flow, 0xfffffff1), c_first);
        EXPECT_EQ(openBackend(flows, c_flow, 50'000), c_first);
    }

    // The datagram may be lost; callers send a packet that was dropped again after 200 ms.
    TEST(ContestedFlowsTest, ownChangesAreReportedAtOnceAndOnceMore)
    {
        ContestedFlows flows { 1, c_start };
        flows.apply({ { { 8 }, c_sequence, c_first }, {} }, c_start);
        EXPECT_FALSE(flows.hasNotices(c_start));
        flows.add(c_flow, c_sequence, c_start);
        EXPECT_TRUE(flows.hasNotices(c_start));
        const std::vector<ContestedFlowReport> added { { { c_flow, c_sequence, {} }, {} } };
        EXPECT_EQ(flows.takeNotices(c_start), added);
        EXPECT_TRUE(flows.takeNotices(c_start).empty());
        flows.resolve(c_flow, c_second, c_start);
        const std::vector<ContestedFlowReport> resolved { { { c_flow, c_sequence, c_second }, {} } };
        EXPECT_EQ(flows.takeNotices(c_start), resolved);
        EXPECT_EQ(flows.takeNotices(c_start + std::chrono::milliseconds { 100 }).size(), 1u);
        EXPECT_FALSE(flows.hasNotices(c_start + std::chrono::seconds { 10 }));
        EXPECT_EQ(flows.latestOwn(5, c_start), resolved);
    }

    TEST(ContestedFlowsTest, eachChangeIsPassedOnOnce)
    {
        ContestedFlows origin { 1, c_start };
        ContestedFlows other { 2, c_start };
        origin.add(c_flow, c_sequence, c_start);
        for (const ContestedFlowReport& flow : origin.takeForMessage(6, c_start))
            other.apply(flow, c_start);
        EXPECT_TRUE(other.hasChanges());
        const std::vector<ContestedFlowReport> changed { { { c_flow, c_sequence, {} }, {} } };
        EXPECT_EQ(other.takeForMessage(1, c_start), changed);
        EXPECT_FALSE(other.hasChanges());
        EXPECT_EQ(other.takeForMessage(6, c_start), changed); // as a repetition
        EXPECT_FALSE(other.hasChanges());
        EXPECT_EQ(origin.takeForMessage(6, c_start).size(), 1u);
        origin.resolve(c_flow, c_second, c_start);
        EXPECT_TRUE(origin.hasChanges());
    }

    TEST(ContestedFlowsTest, messagesListAllOwnFlowsInTime)
    {
        ContestedFlows flows { 1, c_start };
        for (std::uint64_t i = 0; i < 100; ++i)
            flows.add({ i }, c_sequence, c_start);
        std::set<std::uint64_t> listed;
        for (int message = 0; message < 500; ++message) {
            const std::vector<ContestedFlowReport> content = flows.takeForMessage(6, c_start);
            ASSERT_LE(content.size(), 6u);
            // A receiver that gets every second message only must receive all, too.
            for (const ContestedFlowReport& flow :
                message > 100 && message % 2 == 0 ? content : std::vector<ContestedFlowReport> {})
                listed.insert(flow.m_content.m_flow.m_value);
        }
        EXPECT_EQ(listed.size(), 100u);
    }

    TEST(ContestedFlowsTest, flowsAreForgottenAfterTheirMaximumLifetime)
    {
        ContestedFlows flows { 1, c_start };
        flows.add(c_flow, c_sequence, c_start);
        flows.sweep(c_start + c_departedRetention);
        EXPECT_EQ(flows.size(), 0u);
        EXPECT_TRUE(flows.takeForMessage(6, c_start).empty());
    }

    // The VM that saw the flow may have ended; a VM that lost the message that passed it on must still get it.
    TEST(ContestedFlowsTest, flowsOfOtherVmsAreRepeatedInTime)
    {
        ContestedFlows flows { 1, c_start };
        for (std::uint64_t i = 0; i < 40; ++i)
            flows.apply({ { { i }, c_sequence, c_first }, {} }, c_start);
        while (flows.hasChanges())
            flows.takeForMessage(6, c_start);
        std::set<std::uint64_t> listed;
        for (int message = 0; message < 1'000; ++message) {
            const std::vector<ContestedFlowReport> content = flows.takeForMessage(6, c_start);
            EXPECT_EQ(content.size(), 1u); // leaves the room to own flows
            for (const ContestedFlowReport& flow : content)
                listed.insert(flow.m_content.m_flow.m_value);
        }
        EXPECT_EQ(listed.size(), 40u);
    }

    // VMs that repeat a flow to each other must not keep it alive.
    TEST(ContestedFlowsTest, repetitionsDoNotProlongARecord)
    {
        std::array<ContestedFlows, 3> vms { ContestedFlows { 1, c_start }, ContestedFlows { 2, c_start },
            ContestedFlows { 3, c_start } };
        vms[0].add(c_flow, c_sequence, c_start);
        for (Duration passed {}; passed <= c_departedRetention + std::chrono::seconds { 1 };
             passed += std::chrono::milliseconds { 90 }) {
            for (std::size_t sender = 0; sender < vms.size(); ++sender) {
                const Instant now = c_start + passed;
                vms[sender].sweep(now);
                for (const ContestedFlowReport& flow : vms[sender].takeForMessage(6, now)) {
                    for (std::size_t receiver = 0; receiver < vms.size(); ++receiver) {
                        if (receiver != sender)
                            vms[receiver].apply(flow, now);
                    }
                }
            }
        }
        for (const ContestedFlows& vm : vms)
            EXPECT_EQ(vm.size(), 0u);
    }

    TEST(ContestedFlowsTest, theRecordOfTheLaterFlowCounts)
    {
        for (const bool isLaterFirst : { true, false }) {
            ContestedFlows flows { 1, c_start };
            const ContestedFlowReport earlier { { c_flow, c_sequence, c_first }, std::chrono::seconds { 20 } };
            const ContestedFlowReport later { { c_flow, c_sequence + 1'000, c_second }, std::chrono::seconds { 3 } };
            flows.apply(isLaterFirst ? later : earlier, c_start);
            flows.apply(isLaterFirst ? earlier : later, c_start);
            EXPECT_EQ(openBackend(flows, c_flow, c_sequence + 1'001), c_second);
            EXPECT_EQ(openBackend(flows, c_flow, c_sequence + 1), BackendToken {});
        }
    }

    TEST(ContestedFlowsTest, aStartedVmRestoresAllWithoutPassingThemOn)
    {
        ContestedFlows flows { 1, c_start };
        for (std::uint64_t i = 0; i < 300; ++i)
            flows.add({ i }, c_sequence, c_start);
        const Instant now = c_start + std::chrono::seconds { 10 };
        ContestedFlows started { 2, now };
        EXPECT_EQ(started.knownSince(), now);
        started.restore(flows.reports(now), now - flows.knownFor(now), now);
        EXPECT_EQ(started.size(), 300u);
        EXPECT_FALSE(started.hasChanges());
        EXPECT_EQ(started.knownSince(), c_start);
    }

    TEST(ContestedFlowsTest, theNumberOfFlowsIsLimited)
    {
        ContestedFlows flows { 1, c_start };
        for (std::uint64_t i = 0; i <= ContestedFlows::s_maxFlows; ++i)
            flows.add({ i }, c_sequence, c_start);
        EXPECT_EQ(flows.size(), ContestedFlows::s_maxFlows);
        EXPECT_EQ(flows.refused(), 1u);
        EXPECT_FALSE(flows.contains({ ContestedFlows::s_maxFlows }, c_sequence));
    }

    // A record that is missing must not be taken for a flow that is not contested.
    TEST(ContestedFlowsTest, afterARefusalEarlierFlowsAreUnknown)
    {
        ContestedFlows flows { 1, c_start };
        const Instant now = c_start + std::chrono::seconds { 10 };
        for (std::uint64_t i = 0; i < ContestedFlows::s_maxFlows; ++i)
            EXPECT_TRUE(flows.add({ i }, c_sequence, now));
        EXPECT_EQ(flows.knownSince(), c_start);
        EXPECT_FALSE(flows.add({ ContestedFlows::s_maxFlows }, c_sequence, now));
        EXPECT_EQ(flows.knownSince(), now);
    }

} // namespace
} // namespace cuminrelay
