#include "backends/BackendProbe.h"

#include "base/Hash.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cuminrelay {

namespace {

    constexpr std::uint64_t c_phaseSeed = 0x70726f6265;

} // namespace

boost::asio::awaitable<void> probeRepeatedly(
    Endpoint backend, std::unique_ptr<BackendProbe> probe, Duration interval, const Clock& clock, ProbeSink& sink)
{
    const std::uint64_t phase = hashPair(backend.packed(), c_phaseSeed) % static_cast<std::uint64_t>(interval.count());
    boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor };
    Deadline next = clock.now() + Duration { static_cast<std::int64_t>(phase) };
    while (true) {
        timer.expires_after(next - clock.now());
        co_await timer.async_wait(boost::asio::use_awaitable);
        next = clock.now() + interval;
        sink.recordProbe(backend, co_await probe->probe(next));
    }
}

} // namespace cuminrelay
