#include "discovery/StoreWatch.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;

    constexpr auto c_asTuple = asio::as_tuple(asio::use_awaitable);

    constexpr Duration c_readTimeout = std::chrono::milliseconds { 1'000 };

    /// Bounds the time until a stalled watch is detected.
    constexpr Duration c_longestWait = std::chrono::seconds { 2 };

    /// Time for the answer at the end of a wait. The store usually answers in milliseconds.
    constexpr Duration c_waitGrace = std::chrono::milliseconds { 1'000 };

    /// Changes arrive in groups: those within this time after a change are read with one call, not with one each.
    constexpr std::chrono::milliseconds c_coalescing { 400 };

    constexpr Backoff::Limits c_retries { std::chrono::milliseconds { 50 }, std::chrono::milliseconds { 1'000 },
        1'000 };

    asio::awaitable<void> sleepFor(Duration duration)
    {
        asio::steady_timer timer { co_await asio::this_coro::executor };
        timer.expires_after(duration);
        co_await timer.async_wait(c_asTuple);
    }

} // namespace

StoreWatch::StoreWatch(std::string name, WatchEnvironment environment, std::uint64_t seed)
    : m_name(std::move(name))
    , m_environment(environment)
    , m_backoff(c_retries, seed, environment.m_clock.now())
{
}

asio::awaitable<void> StoreWatch::run()
{
    for (;;) {
        if (m_hasAll)
            co_await waitUntilReading();
        const Outcome<StoreRevision> taken = co_await takeNext();
        const bool hasChanged = taken && m_hasAll && taken.value() > m_revision;
        if (taken) {
            m_hasAll = true;
            m_revision = std::max(m_revision, taken.value());
            m_backoff.succeeded();
            m_answeredAt = m_environment.m_clock.now();
            noteContact(true, {});
            if (hasChanged)
                co_await sleepFor(c_coalescing);
        } else if (taken.error().m_kind == ErrorKind::Stale) {
            m_environment.m_metrics.counter("cuminrelay_store_retries_total", "history_gone").add();
            m_environment.m_log.warning(
                "discovery", "store_history_gone", { { "watch", m_name }, { "revision", m_revision.m_number } });
            m_hasAll = false;
        } else {
            noteContact(false, taken.error().m_message);
            co_await pauseAfter(taken.error());
        }
    }
}

void StoreWatch::setReading(bool reading)
{
    m_isReading = reading;
    if (reading && m_idle)
        m_idle->cancel();
}

void StoreWatch::advanceTo(StoreRevision revision)
{
    m_revision = std::max(m_revision, revision);
    m_hasAll = true;
}

asio::awaitable<void> StoreWatch::waitUntilReading()
{
    asio::steady_timer idle { co_await asio::this_coro::executor };
    while (!m_isReading) {
        idle.expires_at(asio::steady_timer::time_point::max());
        m_idle = &idle;
        co_await idle.async_wait(c_asTuple);
        m_idle = nullptr;
    }
}

asio::awaitable<Outcome<StoreRevision>> StoreWatch::takeNext()
{
    const Instant now = m_environment.m_clock.now();
    if (!m_hasAll)
        co_return co_await takeAll(now + c_readTimeout);
    // After a failure the first call does not wait, so that a recovered store is detected soon.
    const Deadline waitUntil = m_isInContact ? now + c_longestWait : now;
    co_return co_await takeChanges(m_revision, waitUntil, waitUntil + c_waitGrace);
}

asio::awaitable<void> StoreWatch::pauseAfter(const Error& error)
{
    m_environment.m_metrics.counter("cuminrelay_store_retries_total", errorKindName(error.m_kind)).add();
    const Instant now = m_environment.m_clock.now();
    co_await sleepFor(m_backoff.failed(now) - now);
}

void StoreWatch::noteContact(bool isInContact, std::string_view reason)
{
    if (m_hasReported && m_isInContact == isInContact)
        return;
    m_hasReported = true;
    m_isInContact = isInContact;
    if (isInContact)
        m_environment.m_log.info(
            "discovery", "store_regained", { { "watch", m_name }, { "revision", m_revision.m_number } });
    else
        m_environment.m_log.warning("discovery", "store_lost",
            { { "watch", m_name }, { "revision", m_revision.m_number }, { "error", reason } });
}

} // namespace cuminrelay
