#include "backends/BackendMessage.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    BackendReport sampleReport(Instant measuredAt)
    {
        return BackendReport { { 0x7f000001, 80 }, BackendHealth::Partitioned, true, 2000, 2, 7, measuredAt };
    }

    TEST(BackendMessage, theAgeIsPreservedBetweenDifferentClocks)
    {
        const Instant sent { std::chrono::seconds { 100 } };
        const Instant received { std::chrono::seconds { 7 } };
        capnp::MallocMessageBuilder message;
        wire::BackendReport::Builder builder = message.initRoot<wire::BackendReport>();
        writeBackendReport(sampleReport(sent - std::chrono::milliseconds { 30 }), sent, builder);
        const Outcome<BackendReport> read = readBackendReport(builder.asReader(), received);
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read.value().m_measuredAt, received - std::chrono::milliseconds { 30 });
        EXPECT_EQ(read.value().m_backend, (Endpoint { 0x7f000001, 80 }));
        EXPECT_EQ(read.value().m_health, BackendHealth::Partitioned);
        EXPECT_TRUE(read.value().m_shedding);
        EXPECT_EQ(read.value().m_connections, 2000U);
        EXPECT_EQ(read.value().m_busySlots, 2U);
        EXPECT_EQ(read.value().m_queued, 7U);
    }

    TEST(BackendMessage, anAgeThatDoesNotFitIsClamped)
    {
        const Instant now { std::chrono::hours { 100 } };
        capnp::MallocMessageBuilder message;
        wire::BackendReport::Builder builder = message.initRoot<wire::BackendReport>();
        writeBackendReport(sampleReport(Instant {}), now, builder);
        EXPECT_EQ(builder.getAgeMicroseconds(), 0xffffffffU);
        writeBackendReport(sampleReport(now + std::chrono::seconds { 1 }), now, builder);
        EXPECT_EQ(builder.getAgeMicroseconds(), 0U);
    }

    TEST(BackendMessage, malformedReportsAreRefused)
    {
        capnp::MallocMessageBuilder message;
        wire::BackendReport::Builder builder = message.initRoot<wire::BackendReport>();
        writeBackendReport(sampleReport(Instant {}), Instant {}, builder);
        builder.setHealth(3);
        EXPECT_EQ(readBackendReport(builder.asReader(), Instant {}).error().m_kind, ErrorKind::InvalidInput);
        writeBackendReport(sampleReport(Instant {}), Instant {}, builder);
        builder.setBackend(0);
        EXPECT_EQ(readBackendReport(builder.asReader(), Instant {}).error().m_kind, ErrorKind::InvalidInput);
    }

} // namespace
} // namespace cuminrelay
