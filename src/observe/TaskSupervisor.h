#pragma once

#include "observe/Log.h"
#include "observe/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Spawns the tasks of a process such that an exception ends neither the process nor, unnoticed, one of its tasks. Each
/// failure is logged and counted in cuminrelay_task_failures_total by task. The metrics and the log must outlive the
/// tasks.
class TaskSupervisor {
public:
    using StartTask = std::function<boost::asio::awaitable<void>()>;

    TaskSupervisor(boost::asio::any_io_executor executor, Metrics& metrics, Log& log);

    /// Runs a task until it returns. If it throws, it is started again after a short pause.
    void keepRunning(std::string name, StartTask start);

    /// Runs a task once. If it throws, onFailure releases what the task holds.
    void runOnce(
        std::string name, boost::asio::awaitable<void> task, std::function<void()> onFailure = [] {});

private:
    boost::asio::awaitable<void> runUntilReturn(std::string name, StartTask start);
    boost::asio::awaitable<void> runAndRelease(
        std::string name, boost::asio::awaitable<void> task, std::function<void()> onFailure);

    /// Returns whether the task returned rather than threw.
    boost::asio::awaitable<bool> hasReturned(std::string_view name, boost::asio::awaitable<void> task);
    void recordFailure(std::string_view name, std::string_view problem);

    boost::asio::any_io_executor m_executor;
    Metrics& m_metrics;
    Log& m_log;
};

} // namespace cuminrelay
