#include "exchange/ContestedFlowsExchange.h"

#include "affinity/NullRouterObserver.h"
#include "placement/LeastWorkPlacement.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_start { std::chrono::seconds { 100 } };
    constexpr std::uint16_t c_port = 7720;
    constexpr Endpoint c_self { 1, c_port };
    constexpr Endpoint c_near { 2, c_port };
    constexpr Endpoint c_far { 3, c_port };

    /// A VM with a peer in its zone and one in another zone.
    struct Vm {
        Vm()
        {
            hear(c_near, hashZone("a"));
            hear(c_far, hashZone("b"));
            m_exchange.takeNotices(m_now); // greets the peers
        }

        void hear(Endpoint peer, ZoneHash zone, LoadMessage message = {})
        {
            message.m_zone = zone;
            m_peers.recordMessage(peer, message, m_now);
            m_exchange.apply(message, peer, m_now);
        }

        Instant m_now = c_start;
        LeastWorkPlacement m_placement;
        NullRouterObserver m_observer;
        TokenRouter m_router { { "a", 1'000, std::chrono::seconds { 2 }, false, std::nullopt, c_self, c_start },
            m_placement, m_observer };
        ExchangePeers m_peers { c_self, hashZone("a"), {} };
        ContestedFlowsExchange m_exchange { m_router, m_peers };
    };

    // Also to a VM that is leaving: it still forwards packets (review/12).
    TEST(ContestedFlowsExchangeTest, aContestedFlowIsToldToTheZoneAtOnce)
    {
        for (const bool isLeaving : { false, true }) {
            Vm vm;
            LoadMessage message;
            message.m_leaving = isLeaving;
            vm.hear(c_near, hashZone("a"), message);
            vm.m_router.contestedFlows().add({ 7 }, 50, vm.m_now);
            const std::vector<ContestedFlowsNotice> notices = vm.m_exchange.takeNotices(vm.m_now);
            ASSERT_EQ(notices.size(), 1u);
            EXPECT_EQ(notices[0].m_targets, std::vector<Endpoint> { c_near });
            ASSERT_EQ(notices[0].m_flows.size(), 1u);
            EXPECT_EQ(notices[0].m_flows[0].m_content.m_openingSequence, 50u);
            EXPECT_TRUE(vm.m_exchange.takeNotices(vm.m_now).empty());
        }
    }

    TEST(ContestedFlowsExchangeTest, manyFlowsAreSplitIntoDatagrams)
    {
        Vm vm;
        for (std::uint64_t flow = 0; flow < 2 * c_maxNoticedFlows + 1; ++flow)
            vm.m_router.contestedFlows().add({ flow }, 50, vm.m_now);
        const std::vector<ContestedFlowsNotice> notices = vm.m_exchange.takeNotices(vm.m_now);
        ASSERT_EQ(notices.size(), 3u);
        EXPECT_EQ(notices[2].m_flows.size(), 1u);
    }

    TEST(ContestedFlowsExchangeTest, aQuestionIsAnsweredToItsSender)
    {
        Vm vm;
        const ContestedFlowReport known { { { 7 }, 50, BackendToken { 3 } }, {} };
        vm.m_router.applyContestedFlow(known, vm.m_now);
        LoadMessage question;
        question.m_isNotice = true;
        question.m_questions = { { 7 }, { 8 } };
        vm.hear(c_far, hashZone("b"), question);
        const std::vector<ContestedFlowsNotice> notices = vm.m_exchange.takeNotices(vm.m_now);
        ASSERT_EQ(notices.size(), 1u);
        EXPECT_EQ(notices[0].m_targets, std::vector<Endpoint> { c_far });
        EXPECT_EQ(notices[0].m_flows, std::vector<ContestedFlowReport> { known });
    }

    // VMs that were unknown have not been told of what this VM recorded (review/13).
    TEST(ContestedFlowsExchangeTest, aVmThatWasUnknownIsToldOfTheFlowsRecordedHere)
    {
        Vm vm;
        vm.m_router.contestedFlows().add({ 7 }, 50, vm.m_now);
        vm.m_exchange.takeNotices(vm.m_now);
        const Endpoint gossiped { 4, c_port };
        LoadMessage message;
        message.m_peers = { { gossiped, hashZone("a") } };
        vm.hear(c_near, hashZone("a"), message);
        const std::vector<ContestedFlowsNotice> notices = vm.m_exchange.takeNotices(vm.m_now);
        ASSERT_EQ(notices.size(), 1u);
        EXPECT_EQ(notices[0].m_targets, std::vector<Endpoint> { gossiped });
        EXPECT_EQ(notices[0].m_flows.size(), 1u);
    }

    // Nobody tells it of contested flows (review/13).
    TEST(ContestedFlowsExchangeTest, aVmWithoutContactKnowsOfNoFlowThatIsOpenedMeanwhile)
    {
        Vm vm;
        vm.m_exchange.tick(vm.m_now);
        EXPECT_EQ(vm.m_router.contestedFlows().knownSince(), c_start);
        vm.m_now += std::chrono::seconds { 2 };
        vm.m_exchange.tick(vm.m_now);
        EXPECT_GT(vm.m_router.contestedFlows().knownSince(), vm.m_now);
        vm.hear(c_far, hashZone("b"));
        const Instant contactAt = vm.m_now;
        vm.m_now += milliseconds { 600 };
        vm.m_exchange.tick(vm.m_now);
        EXPECT_GT(vm.m_router.contestedFlows().knownSince(), contactAt);
        EXPECT_LT(vm.m_router.contestedFlows().knownSince(), vm.m_now);
    }

} // namespace
} // namespace cuminrelay
