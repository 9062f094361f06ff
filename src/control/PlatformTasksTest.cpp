#include "control/PlatformTasks.h"

#include "configuration/ConfigurationJson.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    /// A platform with scripted answers. The context stops at the end of a script.
    class ScriptedPlatform final : public PlatformClient {
    public:
        explicit ScriptedPlatform(boost::asio::io_context& context)
            : m_context(context)
        {
        }

        boost::asio::awaitable<Outcome<StoredObject>> read(std::string, std::string, Deadline) override
        {
            ++m_reads;
            co_return StoredObject { 7, "{}" };
        }

        boost::asio::awaitable<Outcome<StoredObject>> watch(
            std::string, std::string, std::uint64_t watchAbove, Deadline) override
        {
            m_watchedAbove.push_back(watchAbove);
            if (m_watchResults.empty())
                co_await hang();
            Outcome<StoredObject> next = m_watchResults.front();
            m_watchResults.pop_front();
            co_return next;
        }

        boost::asio::awaitable<Outcome<std::uint64_t>> write(
            std::string, std::string, std::uint64_t expected, std::string, Deadline) override
        {
            m_expectedVersions.push_back(expected);
            if (m_writeResults.empty())
                co_await hang();
            Outcome<std::uint64_t> next = m_writeResults.front();
            m_writeResults.pop_front();
            co_return next;
        }

        boost::asio::awaitable<Outcome<std::vector<Member>>> listMembers(Deadline) override
        {
            ++m_lists;
            co_return std::vector<Member> { Member {} };
        }

        std::deque<Outcome<StoredObject>> m_watchResults;
        std::deque<Outcome<std::uint64_t>> m_writeResults;
        std::vector<std::uint64_t> m_watchedAbove;
        std::vector<std::uint64_t> m_expectedVersions;
        unsigned m_reads = 0;
        unsigned m_lists = 0;

    private:
        boost::asio::awaitable<void> hang()
        {
            m_context.stop();
            boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor };
            timer.expires_at(std::chrono::steady_clock::time_point::max());
            co_await timer.async_wait(boost::asio::use_awaitable);
        }

        boost::asio::io_context& m_context;
    };

    class RecordingInbox final : public FleetInbox {
    public:
        void offerConfiguration(Configuration configuration) override
        {
            m_versions.push_back(configuration.m_version.m_number);
        }

        void applyList(std::vector<Member> listed) override { m_listed = listed.size(); }
        void applyOwnReports(std::vector<BackendReport>) override { }

        std::vector<std::uint64_t> m_versions;
        std::size_t m_listed = 0;
    };

    class PlatformTasksTest : public testing::Test {
    protected:
        static StoredObject objectAt(std::uint64_t version)
        {
            return StoredObject { version, formatConfiguration(Configuration {}) };
        }

        /// Starts the tasks of a process that reads the platform and holds no configuration.
        void start()
        {
            FleetSnapshot snapshot;
            snapshot.m_configuration = std::make_shared<const Configuration>();
            snapshot.m_readsPlatform = snapshot.m_watchesConfiguration = true;
            m_tasks.update(snapshot);
            m_tasks.start();
        }

        void run()
        {
            start();
            m_context.run();
        }

        std::uint64_t retries(std::string_view reason)
        {
            return m_metrics.counter("cuminrelay_platform_task_retries_total", reason).value();
        }

        boost::asio::io_context m_context;
        SystemClock m_clock;
        Metrics m_metrics;
        Log m_log { LogLevel::Error };
        ScriptedPlatform m_platform { m_context };
        RecordingInbox m_inbox;
        PlatformTasks m_tasks { m_context.get_executor(), { m_platform, m_inbox, m_clock, m_metrics, m_log }, 1 };
    };

    TEST_F(PlatformTasksTest, eachNewVersionIsOfferedAndTheNextWatchStartsAboveIt)
    {
        m_platform.m_watchResults = { objectAt(3), objectAt(4) };
        run();
        EXPECT_EQ(m_inbox.m_versions, (std::vector<std::uint64_t> { 3, 4 }));
        EXPECT_EQ(m_platform.m_watchedAbove, (std::vector<std::uint64_t> { 0, 3, 4 }));
    }

    TEST_F(PlatformTasksTest, onlyAssignedReadersReadTheVmListAndDoSoAtOnce)
    {
        FleetSnapshot snapshot;
        snapshot.m_configuration = std::make_shared<const Configuration>();
        m_tasks.update(snapshot);
        m_tasks.start();
        m_context.poll();
        EXPECT_EQ(m_platform.m_lists, 0U);
        EXPECT_TRUE(m_platform.m_watchedAbove.empty());
        snapshot.m_readsPlatform = true;
        m_tasks.update(snapshot);
        m_context.restart();
        m_context.poll();
        EXPECT_TRUE(m_platform.m_watchedAbove.empty()) << "its peers hold the configuration and the versions before it";
        snapshot.m_watchesConfiguration = true;
        m_tasks.update(snapshot);
        m_context.restart();
        m_context.poll();
        m_context.restart();
        m_context.poll();
        EXPECT_EQ(m_platform.m_lists, 1U);
        EXPECT_EQ(m_inbox.m_listed, 1U);
        EXPECT_EQ(m_platform.m_watchedAbove.size(), 1U);
    }

    TEST_F(PlatformTasksTest, anOlderVersionOrAFailureIsCountedAndWatchingContinues)
    {
        m_platform.m_watchResults
            = { objectAt(3), objectAt(2), Error { ErrorKind::Unavailable, "down" }, objectAt(3), objectAt(4) };
        run();
        EXPECT_EQ(m_inbox.m_versions, (std::vector<std::uint64_t> { 3, 4 }));
        EXPECT_EQ(retries("stale"), 1U);
        EXPECT_EQ(retries("unavailable"), 1U);
        EXPECT_EQ(retries("answered_early"), 1U);
    }

    TEST_F(PlatformTasksTest, aMalformedConfigurationIsSkipped)
    {
        m_platform.m_watchResults = { StoredObject { 3, "nonsense" }, objectAt(4) };
        run();
        EXPECT_EQ(m_inbox.m_versions, (std::vector<std::uint64_t> { 4 }));
        EXPECT_EQ(m_platform.m_watchedAbove[1], 3U);
        EXPECT_EQ(retries("malformed"), 1U);
    }

    TEST_F(PlatformTasksTest, aStatusIsWrittenAgainstTheStoredVersionAndReadAgainAfterAFailure)
    {
        m_platform.m_watchResults = {};
        m_platform.m_writeResults = { Error { ErrorKind::OutcomeUnknown, "lost" } };
        start();
        m_tasks.writeStatus(ZoneStatus {});
        m_context.run();
        m_context.restart();
        m_context.poll();
        EXPECT_EQ(m_platform.m_reads, 1U);
        EXPECT_EQ(m_platform.m_expectedVersions, (std::vector<std::uint64_t> { 7 }));
        m_platform.m_writeResults = { Outcome<std::uint64_t> { 9 } };
        m_tasks.writeStatus(ZoneStatus {});
        m_context.restart();
        m_context.poll();
        EXPECT_EQ(m_platform.m_reads, 2U);
        EXPECT_EQ(m_metrics.total("cuminrelay_status_failures_total"), 1U);
        m_platform.m_writeResults = { Outcome<std::uint64_t> { 10 } };
        m_tasks.writeStatus(ZoneStatus {});
        m_context.restart();
        m_context.poll();
        EXPECT_EQ(m_platform.m_expectedVersions, (std::vector<std::uint64_t> { 7, 7, 9 }));
    }

} // namespace
} // namespace cuminrelay
