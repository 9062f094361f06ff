#pragma once

#include "base/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>

namespace cuminrelay {

/// Wakes the coroutine of one task on an event. The task keeps the last revision that it has processed, so that it
/// misses no event that occurs while it runs.
class AsyncSignal {
public:
    AsyncSignal(const boost::asio::any_io_executor& executor, const Clock& clock);

    std::uint64_t revision() const { return m_revision; }

    void wake();

    /// Waits until the revision is above the seen one.
    boost::asio::awaitable<void> wait(std::uint64_t seen);

    /// Waits until the revision is above the seen one or the deadline has passed.
    boost::asio::awaitable<void> waitUntil(Deadline deadline, std::uint64_t seen);

private:
    boost::asio::steady_timer m_timer;
    const Clock& m_clock;
    std::uint64_t m_revision = 0;
};

boost::asio::awaitable<void> sleepUntil(Deadline deadline, const Clock& clock);

} // namespace cuminrelay
