#include "observe/TaskSupervisor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>
#include <utility>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;

    /// Short enough for the task that forwards packets, and no busy loop if the failure persists.
    constexpr std::chrono::milliseconds c_restartDelay { 10 };

} // namespace

TaskSupervisor::TaskSupervisor(asio::any_io_executor executor, Metrics& metrics, Log& log)
    : m_executor(std::move(executor))
    , m_metrics(metrics)
    , m_log(log)
{
}

void TaskSupervisor::keepRunning(std::string name, StartTask start)
{
    asio::co_spawn(m_executor, runUntilReturn(std::move(name), std::move(start)), asio::detached);
}

void TaskSupervisor::runOnce(std::string name, asio::awaitable<void> task, std::function<void()> onFailure)
{
    asio::co_spawn(m_executor, runAndRelease(std::move(name), std::move(task), std::move(onFailure)), asio::detached);
}

asio::awaitable<void> TaskSupervisor::runUntilReturn(std::string name, StartTask start)
{
    asio::steady_timer pause { m_executor };
    for (;;) {
        // g++ 12 destroys the temporaries of a co_await within a condition twice.
        const bool isDone = co_await hasReturned(name, start());
        if (isDone)
            co_return;
        pause.expires_after(c_restartDelay);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> TaskSupervisor::runAndRelease(
    std::string name, asio::awaitable<void> task, std::function<void()> onFailure)
{
    const bool isDone = co_await hasReturned(name, std::move(task));
    if (!isDone)
        onFailure();
}

asio::awaitable<bool> TaskSupervisor::hasReturned(std::string_view name, asio::awaitable<void> task)
{
    try {
        co_await std::move(task);
        co_return true;
    } catch (const std::exception& failure) {
        recordFailure(name, failure.what());
    } catch (...) {
        recordFailure(name, "an exception of an unknown type");
    }
    co_return false;
}

void TaskSupervisor::recordFailure(std::string_view name, std::string_view problem)
{
    m_metrics.counter("cuminrelay_task_failures_total", name).add();
    m_log.error("observe", "task_failed", { { "task", name }, { "error", problem } });
}

} // namespace cuminrelay
