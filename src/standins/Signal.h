#pragma once

#include "base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <vector>

namespace cuminrelay::standins {

/// The same point in time on the clock that Asio's timers use.
std::chrono::steady_clock::time_point toSteady(Instant instant);

/// The monotonic time now.
Instant now();

/// Suspends the calling task until the deadline.
boost::asio::awaitable<void> sleepUntil(Deadline deadline);

/// Wakes all tasks that wait for some state to change. All users run on one thread.
class Signal {
public:
    Signal() = default;
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;
    ~Signal() = default;

    /// Returns after the next notify(), or at the deadline, whichever comes first.
    boost::asio::awaitable<void> waitUntil(Deadline deadline);

    void notify();

private:
    std::vector<boost::asio::steady_timer*> m_waiting;
};

} // namespace cuminrelay::standins
