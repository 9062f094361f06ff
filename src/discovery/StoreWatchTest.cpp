#include "discovery/Watches.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;

    /// An accepted configuration must be in force within this time, also after a connection has stalled.
    constexpr Duration c_configurationTimeLimit = std::chrono::seconds { 3 };

    /// A store that lists nothing. Its watches fail with the errors in m_failures; their time limits are recorded.
    class RecordingDiscovery final : public Discovery {
    public:
        RecordingDiscovery(asio::io_context& context, const Clock& clock)
            : m_context(context)
            , m_clock(clock)
        {
        }

        asio::awaitable<Outcome<BackendList>> listBackends(Deadline) override
        {
            ++m_lists;
            co_return BackendList { {}, {}, { 5 } };
        }

        asio::awaitable<Outcome<BackendChanges>> watchBackends(
            StoreRevision afterRevision, Deadline waitUntil, Deadline deadline) override
        {
            m_revisions.push_back(afterRevision);
            m_waits.push_back(waitUntil - m_clock.now());
            m_timeouts.push_back(deadline - m_clock.now());
            if (m_failures.empty()) {
                m_context.stop();
                asio::steady_timer never { m_context, asio::steady_timer::time_point::max() };
                co_await never.async_wait(asio::use_awaitable);
            }
            const ErrorKind kind = m_failures.back();
            m_failures.pop_back();
            co_return Error { kind, "prepared" };
        }

        asio::awaitable<Outcome<DeclarationState>> readDeclarations(Deadline) override
        {
            co_return DeclarationState {};
        }
        asio::awaitable<Outcome<DeclarationState>> watchDeclarations(StoreRevision, Deadline, Deadline) override
        {
            co_return DeclarationState {};
        }

        asio::awaitable<Outcome<EvacuationList>> listEvacuations(Deadline) override { co_return EvacuationList {}; }
        asio::awaitable<Outcome<EvacuationChanges>> watchEvacuations(StoreRevision, Deadline, Deadline) override
        {
            co_return EvacuationChanges {};
        }

        std::vector<ErrorKind> m_failures; ///< of the next watches, in reverse order
        unsigned m_lists = 0;
        std::vector<StoreRevision> m_revisions;
        std::vector<Duration> m_waits;
        std::vector<Duration> m_timeouts;

    private:
        asio::io_context& m_context;
        const Clock& m_clock;
    };

    class NullListener final : public DiscoveryListener {
    public:
        void backendsListed(const BackendList&) override { }
        void backendsChanged(const BackendChanges&) override { }
        void declarationsChanged(const ServiceDeclarations&, StoreRevision) override { }
        void evacuationsListed(const EvacuationList&) override { }
        void evacuationsChanged(const EvacuationChanges&) override { }
    };

    class StoreWatchTest : public testing::Test {
    protected:
        /// Runs the watch until m_failures is empty.
        void run()
        {
            m_watch.setReading(true);
            asio::co_spawn(m_context, m_watch.run(), asio::detached);
            m_context.run();
        }

        asio::io_context m_context;
        ManualClock m_clock;
        Metrics m_metrics;
        Log m_log { LogLevel::Error };
        NullListener m_listener;
        RecordingDiscovery m_discovery { m_context, m_clock };
        BackendsWatch m_watch { m_discovery, m_listener, { m_clock, m_metrics, m_log }, 1 };
    };

    // A stalled connection delivers neither data nor an error: only the time-out of the watch ends the call.
    TEST_F(StoreWatchTest, stalledWatchTimesOutWithinConfigurationTimeLimit)
    {
        run();
        ASSERT_EQ(m_discovery.m_timeouts.size(), 1u);
        EXPECT_LE(m_discovery.m_timeouts[0], c_configurationTimeLimit);
        EXPECT_GT(m_discovery.m_waits[0], Duration::zero());
    }

    TEST_F(StoreWatchTest, stateIsReadOnceAndNotWatchedByDefault)
    {
        asio::co_spawn(m_context, m_watch.run(), asio::detached);
        m_context.poll();
        EXPECT_EQ(m_discovery.m_lists, 1u);
        EXPECT_TRUE(m_discovery.m_waits.empty());
    }

    TEST_F(StoreWatchTest, afterAFailureTheNextWatchDoesNotWait)
    {
        m_discovery.m_failures = { ErrorKind::Unavailable };
        run();
        ASSERT_EQ(m_discovery.m_waits.size(), 2u);
        EXPECT_EQ(m_discovery.m_waits[1], Duration::zero());
        EXPECT_EQ(m_discovery.m_revisions[1].m_number, 5u);
        EXPECT_EQ(m_discovery.m_lists, 1u);
    }

    // A VM that slept through a change must not act as if it still followed the store.
    TEST_F(StoreWatchTest, afterAPauseTheWatchFollowsTheStoreOnlyAfterANewAnswer)
    {
        run();
        EXPECT_TRUE(m_watch.isFollowing());
        m_clock.advance(std::chrono::seconds { 5 });
        m_watch.distrustAnswersBefore(m_clock.now());
        EXPECT_FALSE(m_watch.isFollowing());
    }

    TEST_F(StoreWatchTest, afterAPauseTheNextWatchDoesNotWait)
    {
        m_watch.distrustAnswersBefore(m_clock.now() + std::chrono::seconds { 1 });
        run();
        ASSERT_EQ(m_discovery.m_waits.size(), 1u);
        EXPECT_EQ(m_discovery.m_waits[0], Duration::zero());
    }

    TEST_F(StoreWatchTest, aWatchThatDoesNotFollowTheStoreCallsItOnceToConfirmItsState)
    {
        asio::co_spawn(m_context, m_watch.run(), asio::detached);
        m_context.poll();
        m_watch.confirm();
        m_context.run();
        ASSERT_EQ(m_discovery.m_waits.size(), 1u);
        EXPECT_EQ(m_discovery.m_waits[0], Duration::zero());
    }

    TEST_F(StoreWatchTest, missingHistoryCausesACompleteRead)
    {
        m_discovery.m_failures = { ErrorKind::Stale };
        run();
        EXPECT_EQ(m_discovery.m_lists, 2u);
    }

} // namespace
} // namespace cuminrelay
