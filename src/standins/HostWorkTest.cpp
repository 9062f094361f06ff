#include "standins/HostWork.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <map>

namespace cuminrelay::standins {
namespace {

    namespace asio = boost::asio;

    /// Runs pieces of work and records their results in order of completion.
    class HostWorkTest : public testing::Test {
    protected:
        void start(HostWork& work, std::string_view id, std::uint64_t workMs, std::int64_t deadlineUnixMs = 0)
        {
            WorkRequest request;
            request.m_id = id;
            request.m_workMs = workMs;
            request.m_deadlineUnixMs = deadlineUnixMs;
            asio::co_spawn(m_context, work.run(request),
                [this, key = std::string { id }](const std::exception_ptr&, WorkStatus status) {
                    m_order.push_back(key);
                    m_statuses[key] = status;
                });
        }

        asio::io_context m_context;
        std::vector<std::string> m_order;
        std::map<std::string, WorkStatus> m_statuses;
    };

    TEST_F(HostWorkTest, workIsQueuedInOrderWhenAllSlotsAreBusy)
    {
        HostWork work { { .m_slots = 1 } };
        start(work, "first", 5);
        start(work, "second", 0);
        start(work, "third", 0);
        m_context.poll();
        EXPECT_EQ(work.busySlots(), 1U);
        EXPECT_EQ(work.queued(), 2U);
        m_context.run();
        EXPECT_EQ(m_order, (std::vector<std::string> { "first", "second", "third" }));
        EXPECT_EQ(work.records().size(), 3U);
        EXPECT_EQ(work.busySlots(), 0U);
    }

    TEST_F(HostWorkTest, fullQueueShedsAndDoesNotRun)
    {
        HostWork work { { .m_slots = 1, .m_queueLimit = 1 } };
        start(work, "runs", 5);
        m_context.poll();
        start(work, "waits", 0);
        start(work, "shed", 0);
        m_context.run();
        EXPECT_EQ(m_statuses["waits"], WorkStatus::Done);
        EXPECT_EQ(m_statuses["shed"], WorkStatus::Shed);
        EXPECT_EQ(work.records().size(), 2U);
    }

    TEST_F(HostWorkTest, sheddingRefusesWithoutRunning)
    {
        HostWork work { {} };
        work.setShedding(true);
        start(work, "shed", 0);
        m_context.run();
        EXPECT_EQ(m_statuses["shed"], WorkStatus::Shed);
        EXPECT_TRUE(work.records().empty());
    }

    TEST_F(HostWorkTest, workPastItsDeadlineDoesNotRun)
    {
        HostWork work { { .m_slots = 1 } };
        start(work, "over", 0, unixMilliseconds() - 1);
        start(work, "long", 60'000);
        start(work, "waits", 0, unixMilliseconds() + 20);
        while (!m_statuses.contains("waits"))
            m_context.run_one();
        EXPECT_EQ(m_statuses["over"], WorkStatus::DeadlineExceeded);
        EXPECT_EQ(m_statuses["waits"], WorkStatus::DeadlineExceeded);
        ASSERT_EQ(work.records().size(), 1U);
        EXPECT_EQ(work.records().front().m_id, "long");
    }

    TEST_F(HostWorkTest, workCancelledBeforeItsStartDoesNotRun)
    {
        HostWork work { { .m_slots = 1 } };
        start(work, "runs", 60'000);
        start(work, "waits", 0);
        m_context.poll();
        EXPECT_TRUE(work.cancel("waits"));
        EXPECT_TRUE(work.cancel("runs"));
        EXPECT_FALSE(work.cancel("unknown"));
        m_context.run();
        EXPECT_EQ(m_statuses["waits"], WorkStatus::Cancelled);
        EXPECT_EQ(m_statuses["runs"], WorkStatus::Stopped);
        EXPECT_EQ(work.records().size(), 1U);
    }

    TEST(WorkMessage, encodedRequestAndAnswerDecodeToTheSame)
    {
        WorkRequest request { "id-1", "kanteisha", WorkKind::Booking, 12, 34, 56, 78 };
        const std::string line = encodeRequest(request);
        const WorkRequest decoded = decodeRequest(line.substr(0, line.size() - 1)).value();
        EXPECT_EQ(encodeRequest(decoded), line);
        const std::string answer
            = encodeAnswer({ "id-1", WorkStatus::DeadlineExceeded, "kanteisha", "host-1", 3, 4, "ab" });
        EXPECT_EQ(encodeAnswer(decodeAnswer(answer.substr(0, answer.size() - 1)).value()), answer);
        for (const char* const bad : { "", "{}", "[]", "{\"id\":3}" }) {
            EXPECT_EQ(decodeRequest(bad).error().m_kind, ErrorKind::InvalidInput);
            EXPECT_EQ(decodeAnswer(bad).error().m_kind, ErrorKind::InvalidInput);
        }
    }

} // namespace
} // namespace cuminrelay::standins
