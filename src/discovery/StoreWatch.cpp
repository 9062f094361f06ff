#include "discovery/StoreWatch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;

    constexpr auto c_asTuple = asio::as_tuple(asio::use_awaitable);

    asio::awaitable<void> sleepFor(Duration duration)
    {
        asio::steady_timer timer { co_await asio::this_coro::executor };
        timer.expires_after(duration);
        co_await timer.async_wait(c_asTuple);
    }

} // namespace

StoreWatch::StoreWatch(std::string name, WatchEnvironment environment, std::uint64_t seed, Duration maxWait)
    : m_name(std::move(name))
    , m_environment(environment)
    , m_schedule(seed, environment.m_clock.now(), maxWait)
{
}

asio::awaitable<void> StoreWatch::run()
{
    for (;;) {
        co_await waitForRequest();
        const Outcome<StoreAnswer> answer = co_await call();
        const Instant now = m_environment.m_clock.now();
        Deadline nextCallAt = now;
        if (answer) {
            nextCallAt = m_schedule.recordAnswer(answer.value(), now);
            logContact(true, {});
        } else {
            nextCallAt = recordFailure(answer.error(), now);
        }
        if (nextCallAt > now)
            co_await sleepFor(nextCallAt - now);
    }
}

void StoreWatch::setReading(bool reading)
{
    m_schedule.setReading(reading);
    if (reading && m_idleTimer)
        m_idleTimer->cancel();
}

void StoreWatch::confirm()
{
    if (!m_idleTimer)
        return;
    m_schedule.confirm();
    m_idleTimer->cancel();
}

asio::awaitable<void> StoreWatch::waitForRequest()
{
    asio::steady_timer idleTimer { co_await asio::this_coro::executor };
    while (!m_schedule.needsCall()) {
        idleTimer.expires_at(asio::steady_timer::time_point::max());
        m_idleTimer = &idleTimer;
        co_await idleTimer.async_wait(c_asTuple);
        m_idleTimer = nullptr;
    }
}

asio::awaitable<Outcome<StoreAnswer>> StoreWatch::call()
{
    const WatchSchedule::Call call = m_schedule.begin(m_environment.m_clock.now());
    if (call.m_readsAll)
        co_return co_await readAll(call.m_deadline);
    co_return co_await readChanges(m_schedule.revision(), call.m_waitUntil, call.m_deadline);
}

Deadline StoreWatch::recordFailure(const Error& error, Instant now)
{
    const bool isStale = error.m_kind == ErrorKind::Stale;
    m_environment.m_metrics
        .counter("cuminrelay_store_retries_total", isStale ? "history_gone" : errorKindName(error.m_kind))
        .add();
    if (isStale)
        m_environment.m_log.warning(
            "discovery", "store_history_gone", { { "watch", m_name }, { "revision", m_schedule.revision().m_number } });
    else
        logContact(false, error.m_message);
    return m_schedule.recordFailure(error.m_kind, now);
}

void StoreWatch::logContact(bool isInContact, std::string_view reason)
{
    if (std::exchange(m_loggedContact, isInContact) == isInContact)
        return;
    const std::uint64_t revision = m_schedule.revision().m_number;
    if (isInContact)
        m_environment.m_log.info("discovery", "store_regained", { { "watch", m_name }, { "revision", revision } });
    else
        m_environment.m_log.warning(
            "discovery", "store_lost", { { "watch", m_name }, { "revision", revision }, { "error", reason } });
}

} // namespace cuminrelay
