#include "observe/TaskSupervisor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>
#include <stdexcept>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;

    class TaskSupervisorTest : public testing::Test {
    protected:
        /// Throws the first times that it runs.
        asio::awaitable<void> runOrThrow(unsigned failures)
        {
            co_await asio::post(m_context, asio::use_awaitable);
            if (++m_runs <= failures)
                throw std::runtime_error { "prepared" };
        }

        asio::io_context m_context;
        Metrics m_metrics;
        Log m_log { LogLevel::Error };
        TaskSupervisor m_tasks { m_context.get_executor(), m_metrics, m_log };
        unsigned m_runs = 0;
    };

    // Asio discards the exception of a detached task: without supervision the process would go on without the task.
    TEST_F(TaskSupervisorTest, aTaskThatThrowsIsStartedAgain)
    {
        m_tasks.keepRunning("packets", [this] { return runOrThrow(3); });
        m_context.run();
        EXPECT_EQ(m_runs, 4u);
        EXPECT_EQ(m_metrics.total("cuminrelay_task_failures_total"), 3u);
    }

    TEST_F(TaskSupervisorTest, aTaskThatRunsOnceReleasesWhatItHolds)
    {
        bool isReleased = false;
        m_tasks.runOnce("probe", runOrThrow(1), [&isReleased] { isReleased = true; });
        m_context.run();
        EXPECT_TRUE(isReleased);
        EXPECT_EQ(m_runs, 1u);
    }

    TEST_F(TaskSupervisorTest, aTaskThatReturnsIsNotAFailure)
    {
        bool isReleased = false;
        m_tasks.runOnce("probe", runOrThrow(0), [&isReleased] { isReleased = true; });
        m_tasks.keepRunning("packets", [this] { return runOrThrow(0); });
        m_context.run();
        EXPECT_FALSE(isReleased);
        EXPECT_EQ(m_runs, 2u);
        EXPECT_EQ(m_metrics.total("cuminrelay_task_failures_total"), 0u);
    }

    TEST_F(TaskSupervisorTest, anExceptionOfAnyTypeIsCaught)
    {
        const auto throwNumber = [this]() -> asio::awaitable<void> {
            co_await asio::post(m_context, asio::use_awaitable);
            throw 7; // NOLINT(hicpp-exception-baseclass): any type may be thrown
        };
        m_tasks.runOnce("probe", throwNumber());
        m_context.run();
        EXPECT_EQ(m_metrics.total("cuminrelay_task_failures_total"), 1u);
    }

} // namespace
} // namespace cuminrelay
