#include "affinity/TrackedFlows.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_start { std::chrono::seconds { 100 } };

    class TrackedFlowsTest : public testing::Test {
    protected:
        void SetUp() override
        {
            for (std::uint64_t identity = 1; identity <= 2; ++identity) {
                AnnouncedBackend backend;
                backend.m_identity = { identity };
                backend.m_server.m_tunnel = { static_cast<std::uint32_t>(identity), 8080 };
                m_catalog.announce(backend, c_start);
            }
        }

        BackendLoad load(std::uint64_t identity) const { return m_catalog.find(tokenOf({ identity }))->m_localLoad; }

        static PacketSummary data(std::uint32_t sequence, std::uint32_t acknowledgment, std::uint16_t bytes = 100)
        {
            PacketSummary packet;
            packet.m_sequence = sequence;
            packet.m_acknowledgment = acknowledgment;
            packet.m_payloadBytes = bytes;
            return packet;
        }

        BackendCatalog m_catalog;
        TrackedFlows m_flows { m_catalog, 3 };
        FlowHash m_hash { 7 };
    };

    TEST_F(TrackedFlowsTest, aLongFlowIsActiveFromItsRequestToItsAnswer)
    {
        m_flows.open(m_hash, {}, tokenOf({ 1 }), true, c_start);
        EXPECT_EQ(load(1), (BackendLoad { 1, 1 }));
        m_flows.observe(*m_flows.find(m_hash), data(10, 50), c_start);
        EXPECT_EQ(load(1), (BackendLoad { 1, 1 }));
        m_flows.observe(*m_flows.find(m_hash), data(110, 2'050, 0), c_start); // acknowledges the answer
        EXPECT_EQ(load(1), (BackendLoad { 0, 1 }));
        m_flows.observe(*m_flows.find(m_hash), data(110, 2'050), c_start);
        EXPECT_EQ(load(1), (BackendLoad { 1, 1 }));
        m_flows.close(m_hash);
        EXPECT_EQ(load(1), BackendLoad {});
    }

    // The handshake and a continued answer would otherwise count as quick answers.
    TEST_F(TrackedFlowsTest, anAnswerIsReportedOnceWithTheTimeAndLoadOfItsRequest)
    {
        m_catalog.find(tokenOf({ 1 }))->m_peerLoad.m_activeRequests = 4;
        m_flows.open(m_hash, {}, tokenOf({ 1 }), false, c_start);
        const Instant sentAt = c_start + milliseconds { 20 };
        const Instant answeredAt = sentAt + milliseconds { 30 };
        EXPECT_EQ(m_flows.observe(*m_flows.find(m_hash), data(10, 50, 0), c_start).m_answeredSentAt, Instant {});
        EXPECT_EQ(m_flows.observe(*m_flows.find(m_hash), data(10, 50), sentAt).m_answeredSentAt, Instant {});
        const FlowObservation answered = m_flows.observe(*m_flows.find(m_hash), data(110, 900, 0), answeredAt);
        EXPECT_EQ(answered.m_answeredSentAt, sentAt);
        EXPECT_EQ(answered.m_loadWhenSent, 4u);
        EXPECT_EQ(m_flows.observe(*m_flows.find(m_hash), data(110, 1'800, 0), answeredAt).m_answeredSentAt, Instant {});
    }

    TEST_F(TrackedFlowsTest, retransmittedDataIsDetected)
    {
        m_flows.open(m_hash, {}, tokenOf({ 1 }), false, c_start);
        EXPECT_FALSE(m_flows.observe(*m_flows.find(m_hash), data(10, 50), c_start).m_isRetransmission);
        EXPECT_TRUE(m_flows.observe(*m_flows.find(m_hash), data(10, 50), c_start).m_isRetransmission);
        EXPECT_FALSE(m_flows.observe(*m_flows.find(m_hash), data(110, 50), c_start).m_isRetransmission);
    }

    TEST_F(TrackedFlowsTest, sequenceNumbersWrapAround)
    {
        m_flows.open(m_hash, {}, tokenOf({ 1 }), false, c_start);
        m_flows.observe(*m_flows.find(m_hash), data(0xffffffc0, 0xfffffff0), c_start);
        const FlowObservation wrapped = m_flows.observe(*m_flows.find(m_hash), data(0x00000024, 0x10), c_start);
        EXPECT_FALSE(wrapped.m_isRetransmission);
        EXPECT_TRUE(wrapped.m_acknowledgesNewData);
    }

    TEST_F(TrackedFlowsTest, movedFlowTransfersItsLoad)
    {
        TrackedFlow* const flow = m_flows.open(m_hash, {}, tokenOf({ 1 }), true, c_start);
        m_flows.move(*flow, tokenOf({ 2 }));
        EXPECT_EQ(load(1), BackendLoad {});
        EXPECT_EQ(load(2), (BackendLoad { 1, 1 }));
    }

    TEST_F(TrackedFlowsTest, idleFlowsAreRemoved)
    {
        m_flows.open(m_hash, {}, tokenOf({ 1 }), true, c_start);
        m_flows.sweep(c_start + milliseconds { 1'200 });
        EXPECT_EQ(load(1), (BackendLoad { 0, 1 })); // the last answer needs no acknowledgment
        m_flows.sweep(c_start + milliseconds { 3'100 });
        EXPECT_EQ(load(1), BackendLoad {});
        EXPECT_EQ(m_flows.size(), 0u);
    }

    TEST_F(TrackedFlowsTest, flowsBeyondTheLimitAreUntracked)
    {
        for (std::uint64_t i = 0; i < 3; ++i)
            EXPECT_NE(m_flows.open({ i }, {}, tokenOf({ 1 }), false, c_start), nullptr);
        EXPECT_EQ(m_flows.open({ 3 }, {}, tokenOf({ 1 }), false, c_start), nullptr);
        EXPECT_NE(m_flows.open({ 2 }, {}, tokenOf({ 2 }), false, c_start), nullptr);
        EXPECT_EQ(load(1).m_activeRequests, 2u);
    }

} // namespace
} // namespace cuminrelay
