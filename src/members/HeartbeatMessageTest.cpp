#include "members/HeartbeatMessage.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_now { std::chrono::seconds { 100 } };

    Heartbeat sampleHeartbeat()
    {
        const Member member { { 1, 1 }, { 1, 2 }, { 1, 3 }, "entry-1", "khomas-a", 7, MemberState::Active };
        const MemberHeartbeat heartbeat { member, 12, MemberStatistics { ConfigVersion { 3 }, 4, 5 } };
        const BackendReport report { { 9, 80 }, BackendHealth::Unhealthy, false, 1, 2, 3, c_now };
        const Instant lastContactAt = c_now - std::chrono::milliseconds { 250 };
        return Heartbeat { heartbeat, { report },
            { ZoneSummary { "khomas-a", { heartbeat }, ConfigVersion { 2 }, lastContactAt } },
            { ForwardedReport { { 2, 1 }, report } }, 77, true };
    }

    TEST(HeartbeatMessage, encodedHeartbeatDecodesToTheSame)
    {
        const Heartbeat sent = sampleHeartbeat();
        capnp::MallocMessageBuilder message;
        writeHeartbeat(sent, c_now, message.initRoot<wire::Heartbeat>());
        const Outcome<Heartbeat> read = readHeartbeat(message.getRoot<wire::Heartbeat>().asReader(), c_now);
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read.value().m_memberHeartbeat, sent.m_memberHeartbeat);
        EXPECT_EQ(read.value().m_summaries, sent.m_summaries);
        ASSERT_EQ(read.value().m_reports.size(), 1U);
        EXPECT_EQ(read.value().m_reports[0].m_backend, sent.m_reports[0].m_backend);
        EXPECT_EQ(read.value().m_reports[0].m_measuredAt, c_now);
        ASSERT_EQ(read.value().m_forwardedReports.size(), 1U);
        EXPECT_EQ(read.value().m_forwardedReports[0].m_prober, (Endpoint { 2, 1 }));
        EXPECT_EQ(read.value().m_forwardedReports[0].m_report.m_backend, sent.m_reports[0].m_backend);
        EXPECT_EQ(read.value().m_viewDigest, sent.m_viewDigest);
        EXPECT_TRUE(read.value().m_closing);
    }

    TEST(HeartbeatMessage, malformedFieldRejectsHeartbeat)
    {
        capnp::MallocMessageBuilder message;
        wire::Heartbeat::Builder builder = message.initRoot<wire::Heartbeat>();
        writeHeartbeat(sampleHeartbeat(), c_now, builder);
        builder.getZoneVersions()[0].getMembers()[0].getMember().setName("");
        EXPECT_EQ(readHeartbeat(builder.asReader(), c_now).error().m_kind, ErrorKind::InvalidInput);
        writeHeartbeat(sampleHeartbeat(), c_now, builder);
        builder.getReports()[0].setBackend(0);
        EXPECT_EQ(readHeartbeat(builder.asReader(), c_now).error().m_kind, ErrorKind::InvalidInput);
        writeHeartbeat(sampleHeartbeat(), c_now, builder);
        builder.initPassedProbers(2);
        EXPECT_EQ(readHeartbeat(builder.asReader(), c_now).error().m_kind, ErrorKind::InvalidInput);
        writeHeartbeat(sampleHeartbeat(), c_now, builder);
        builder.getSender().setState(9);
        EXPECT_EQ(readHeartbeat(builder.asReader(), c_now).error().m_kind, ErrorKind::InvalidInput);
    }

} // namespace
} // namespace cuminrelay
