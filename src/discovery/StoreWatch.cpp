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
    constexpr Duration c_maxWait = std::chrono::seconds { 2 };

    /// Time for the answer at the end of a wait. The store usually answers in milliseconds.
    constexpr Duration c_answerTimeout = std::chrono::milliseconds { 1'000 };

    /// Changes arrive in groups: those within this time after a change are read with one call, not with one each.
    constexpr std::chrono::milliseconds c_coalescingTime { 400 };

    constexpr Backoff::Limits c_retryLimits { std::chrono::milliseconds { 50 }, std::chrono::milliseconds { 1'000 },
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
    , m_backoff(c_retryLimits, seed, environment.m_clock.now())
{
}

asio::awaitable<void> StoreWatch::run()
{
    for (;;) {
        if (m_hasCompleteState)
            co_await waitUntilReading();
        const Outcome<StoreRevision> readRevision = co_await readNext();
        const bool hasChanged = readRevision && m_hasCompleteState && readRevision.value() > m_revision;
        if (readRevision) {
            m_hasCompleteState = true;
            m_revision = std::max(m_revision, readRevision.value());
            m_backoff.succeeded();
            m_answeredAt = m_environment.m_clock.now();
            recordContact(true, {});
            if (hasChanged)
                co_await sleepFor(c_coalescingTime);
        } else if (readRevision.error().m_kind == ErrorKind::Stale) {
            m_environment.m_metrics.counter("cuminrelay_store_retries_total", "history_gone").add();
            m_environment.m_log.warning(
                "discovery", "store_history_gone", { { "watch", m_name }, { "revision", m_revision.m_number } });
            m_hasCompleteState = false;
        } else {
            recordContact(false, readRevision.error().m_message);
            co_await pauseAfter(readRevision.error());
        }
    }
}

void StoreWatch::setReading(bool reading)
{
    m_isReading = reading;
    if (reading && m_idleTimer)
        m_idleTimer->cancel();
}

void StoreWatch::advanceTo(StoreRevision revision)
{
    m_revision = std::max(m_revision, revision);
    m_hasCompleteState = true;
}

asio::awaitable<void> StoreWatch::waitUntilReading()
{
    asio::steady_timer idleTimer { co_await asio::this_coro::executor };
    while (!m_isReading) {
        idleTimer.expires_at(asio::steady_timer::time_point::max());
        m_idleTimer = &idleTimer;
        co_await idleTimer.async_wait(c_asTuple);
        m_idleTimer = nullptr;
    }
}

asio::awaitable<Outcome<StoreRevision>> StoreWatch::readNext()
{
    const Instant now = m_environment.m_clock.now();
    if (!m_hasCompleteState)
        co_return co_await readAll(now + c_readTimeout);
    // After a failure or a pause the first call does not wait, so that the store's state is known soon.
    const bool isUpToDate = m_isInContact && m_answeredAt >= m_trustedFrom;
    const Deadline waitUntil = isUpToDate ? now + c_maxWait : now;
    co_return co_await readChanges(m_revision, waitUntil, waitUntil + c_answerTimeout);
}

asio::awaitable<void> StoreWatch::pauseAfter(const Error& error)
{
    m_environment.m_metrics.counter("cuminrelay_store_retries_total", errorKindName(error.m_kind)).add();
    const Instant now = m_environment.m_clock.now();
    co_await sleepFor(m_backoff.failed(now) - now);
}

void StoreWatch::recordContact(bool isInContact, std::string_view reason)
{
    if (m_hasLoggedContact && m_isInContact == isInContact)
        return;
    m_hasLoggedContact = true;
    m_isInContact = isInContact;
    if (isInContact)
        m_environment.m_log.info(
            "discovery", "store_regained", { { "watch", m_name }, { "revision", m_revision.m_number } });
    else
        m_environment.m_log.warning("discovery", "store_lost",
            { { "watch", m_name }, { "revision", m_revision.m_number }, { "error", reason } });
}

} // namespace cuminrelay
