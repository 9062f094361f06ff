#include "control/AsyncSignal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cuminrelay {

AsyncSignal::AsyncSignal(const boost::asio::any_io_executor& executor, const Clock& clock)
    : m_timer(executor)
    , m_clock(clock)
{
}

void AsyncSignal::wake()
{
    ++m_revision;
    m_timer.cancel();
}

boost::asio::awaitable<void> AsyncSignal::wait(std::uint64_t seen)
{
    while (m_revision <= seen) {
        m_timer.expires_at(std::chrono::steady_clock::time_point::max());
        boost::system::error_code cancelled;
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }
}

boost::asio::awaitable<void> AsyncSignal::waitUntil(Deadline deadline, std::uint64_t seen)
{
    while (m_revision <= seen && m_clock.now() < deadline) {
        m_timer.expires_after(deadline - m_clock.now());
        boost::system::error_code cancelled;
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }
}

boost::asio::awaitable<void> sleepUntil(Deadline deadline, const Clock& clock)
{
    boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor };
    timer.expires_after(deadline - clock.now());
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace cuminrelay
