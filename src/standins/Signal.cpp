#include "standins/Signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cuminrelay::standins {

std::chrono::steady_clock::time_point toSteady(Instant instant)
{
    constexpr Duration latest = std::chrono::floor<Duration>(std::chrono::steady_clock::duration::max());
    if (instant.time_since_epoch() > latest)
        return std::chrono::steady_clock::time_point::max();
    return std::chrono::steady_clock::time_point { std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        instant.time_since_epoch()) };
}

Instant now()
{
    return SystemClock {}.now();
}

boost::asio::awaitable<void> sleepUntil(Deadline deadline)
{
    boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor, toSteady(deadline) };
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

boost::asio::awaitable<void> Signal::waitUntil(Deadline deadline)
{
    boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor, toSteady(deadline) };
    m_timers.push_back(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    std::erase(m_timers, &timer);
}

void Signal::notify()
{
    const std::vector<boost::asio::steady_timer*> waiting = std::move(m_timers);
    m_timers.clear();
    for (boost::asio::steady_timer* const timer : waiting)
        timer->cancel();
}

} // namespace cuminrelay::standins
