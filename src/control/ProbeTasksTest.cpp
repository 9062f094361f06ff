#include "control/ProbeTasks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Endpoint c_self { 1, 1 };
    constexpr Endpoint c_other { 2, 1 };

    /// A probe that ends only when it is cancelled.
    class HangingProbe final : public BackendProbe {
    public:
        boost::asio::awaitable<ProbeResult> probe(Deadline) override
        {
            boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor };
            timer.expires_at(std::chrono::steady_clock::time_point::max());
            co_await timer.async_wait(boost::asio::use_awaitable);
            co_return ProbeResult {};
        }
    };

    /// A probe that reports a healthy backend server with some load.
    class GoodProbe final : public BackendProbe {
    public:
        boost::asio::awaitable<ProbeResult> probe(Deadline) override
        {
            co_return ProbeResult { ProbeSignal::Good, BackendLoad { 5, 2, 1, true } };
        }
    };

    template <typename Probe> class FakeProbes final : public BackendProbeFactory {
    public:
        std::unique_ptr<BackendProbe> open(Endpoint) override
        {
            ++m_opened;
            return std::make_unique<Probe>();
        }

        unsigned m_opened = 0;
    };

    class RecordingInbox final : public FleetInbox {
    public:
        explicit RecordingInbox(boost::asio::io_context& context)
            : m_context(context)
        {
        }

        void offerConfiguration(Configuration) override { }
        void applyList(std::vector<Member>) override { }

        void applyOwnReports(std::vector<BackendReport> reports) override
        {
            m_reports.insert(m_reports.end(), reports.begin(), reports.end());
            m_context.stop();
        }

        std::vector<BackendReport> m_reports;

    private:
        boost::asio::io_context& m_context;
    };

    Member memberOf(Endpoint peers, MemberState state)
    {
        Member member;
        member.m_peers = peers;
        member.m_zone = "a";
        member.m_state = state;
        return member;
    }

    FleetSnapshot snapshotOf(std::vector<Member> members, std::uint32_t backends, std::uint16_t reportPort = 81)
    {
        Configuration configuration;
        for (std::uint32_t number = 1; number <= backends; ++number) {
            BackendServer server;
            server.m_zone = "a";
            server.m_tunnel = { number, 80 };
            server.m_report = { number, reportPort };
            configuration.m_backendServers.push_back(server);
        }
        return FleetSnapshot { MemberView { 1, std::move(members) },
            std::make_shared<const Configuration>(std::move(configuration)), false, true };
    }

    class ProbeTasksTest : public testing::Test {
    protected:
        boost::asio::io_context m_context;
        SystemClock m_clock;
        RecordingInbox m_inbox { m_context };
    };

    TEST_F(ProbeTasksTest, tasksMatchTheAssignmentAndAreCancelledDuringAProbe)
    {
        FakeProbes<HangingProbe> probes;
        ProbeTasks tasks { m_context.get_executor(), probes, m_inbox, m_clock, c_self,
            std::chrono::milliseconds { 1 } };
        const Member self = memberOf(c_self, MemberState::Active);
        tasks.update(snapshotOf({ self, memberOf(c_other, MemberState::Active) }, 3));
        EXPECT_EQ(tasks.taskCount(), 3U);
        m_context.run_for(std::chrono::milliseconds { 20 });
        tasks.update(snapshotOf({ self }, 3));
        EXPECT_EQ(probes.m_opened, 3U);
        tasks.update(snapshotOf({ self }, 2, 82));
        EXPECT_EQ(tasks.taskCount(), 2U);
        EXPECT_EQ(probes.m_opened, 5U);
        tasks.update(snapshotOf({ memberOf(c_self, MemberState::Unreachable) }, 2, 82));
        EXPECT_EQ(tasks.taskCount(), 0U);
        // run() returns only if no coroutine is left.
        m_context.restart();
        m_context.run();
        EXPECT_TRUE(m_inbox.m_reports.empty());
    }

    TEST_F(ProbeTasksTest, eachProbeIsReportedWithItsHealthAndLoad)
    {
        FakeProbes<GoodProbe> probes;
        ProbeTasks tasks { m_context.get_executor(), probes, m_inbox, m_clock, c_self,
            std::chrono::milliseconds { 1 } };
        tasks.update(snapshotOf({ memberOf(c_self, MemberState::Active) }, 1));
        m_context.run();
        ASSERT_FALSE(m_inbox.m_reports.empty());
        EXPECT_EQ(m_inbox.m_reports[0].m_backend, (Endpoint { 1, 80 }));
        EXPECT_EQ(m_inbox.m_reports[0].m_health, BackendHealth::Healthy);
        EXPECT_EQ(m_inbox.m_reports[0].m_connections, 5U);
        EXPECT_TRUE(m_inbox.m_reports[0].m_shedding);
    }

} // namespace
} // namespace cuminrelay
