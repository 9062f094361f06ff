#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <vector>

namespace cuminrelay::standins {

/// Converts to the clock of Asio's timers.
std::chrono::steady_clock::time_point toSteady(Instant instant);

Instant now();

boost::asio::awaitable<void> sleepUntil(Deadline deadline);

/// Wakes all tasks that wait for a change of state. Single-threaded.
class Signal {
public:
    Signal() = default;
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;
    ~Signal() = default;

    /// Returns after the next notify() or at the deadline.
    boost::asio::awaitable<void> waitUntil(Deadline deadline);

    void notify();

private:
    std::vector<boost::asio::steady_timer*> m_timers;
};

} // namespace cuminrelay::standins
