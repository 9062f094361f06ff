#include "control/PlatformTasks.h"

#include "configuration/ConfigurationJson.h"
#include "control/StatusMessage.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

namespace cuminrelay {

namespace {

    constexpr Backoff::Limits c_retry { std::chrono::milliseconds { 100 }, std::chrono::seconds { 3 } };

    /// A watch that times out returns the complete configuration; a long time-out saves traffic.
    constexpr Duration c_watchTimeout = std::chrono::seconds { 30 };

    /// An answer without a newer version before this time counts as a failed watch.
    constexpr Duration c_minimumWatchTime = std::chrono::seconds { 15 };

    constexpr Duration c_callTimeout = std::chrono::seconds { 3 };

    /// Interval between reads of the VM list; grows with the list, to limit the reads to about 2 KB/s.
    constexpr Duration c_listInterval = std::chrono::seconds { 2 };
    constexpr Duration c_listIntervalPerVm = std::chrono::milliseconds { 85 };

    constexpr std::string_view c_retryCounter = "cuminrelay_platform_task_retries_total";

    std::int64_t unixMilliseconds()
    {
        const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    }

} // namespace

PlatformTasks::PlatformTasks(
    const boost::asio::any_io_executor& executor, const Environment& environment, std::uint64_t seed)
    : m_executor(executor)
    , m_environment(environment)
    , m_seed(seed)
    , m_watchSignal(executor, environment.m_clock)
    , m_listSignal(executor, environment.m_clock)
    , m_statusSignal(executor, environment.m_clock)
{
}

void PlatformTasks::start()
{
    boost::asio::co_spawn(m_executor, watchConfiguration(), boost::asio::detached);
    boost::asio::co_spawn(m_executor, readLists(), boost::asio::detached);
    boost::asio::co_spawn(m_executor, writeStatuses(), boost::asio::detached);
}

void PlatformTasks::update(const FleetSnapshot& snapshot)
{
    m_heldVersion = std::max(m_heldVersion, snapshot.m_configuration->m_version.m_number);
    if (m_readsPlatform == snapshot.m_readsPlatform && m_watchesConfiguration == snapshot.m_watchesConfiguration)
        return;
    m_readsPlatform = snapshot.m_readsPlatform;
    m_watchesConfiguration = snapshot.m_watchesConfiguration;
    m_watchSignal.wake();
    m_listSignal.wake();
}

void PlatformTasks::writeStatus(ZoneStatus status)
{
    m_status = std::move(status);
    m_statusSignal.wake();
}

void PlatformTasks::requestListRead()
{
    m_listSignal.wake();
}

boost::asio::awaitable<void> PlatformTasks::watchConfiguration()
{
    Backoff backoff { c_retry, m_seed, m_environment.m_clock.now() };
    while (true) {
        const std::uint64_t seen = m_watchSignal.revision();
        if (!m_watchesConfiguration) {
            co_await m_watchSignal.wait(seen);
            continue;
        }
        const Instant started = m_environment.m_clock.now();
        const std::uint64_t watchAbove = std::max(m_heldVersion, m_refusedVersion);
        const Outcome<StoredObject> object
            = co_await m_environment.m_client.watch("config", "current", watchAbove, started + c_watchTimeout);
        const std::string_view reason = applyWatchResult(object, started);
        if (reason.empty())
            backoff.succeeded();
        else
            co_await waitForRetry(backoff, "watch", reason);
    }
}

std::string_view PlatformTasks::applyWatchResult(const Outcome<StoredObject>& object, Instant started)
{
    if (!object)
        return errorKindName(object.error().m_kind);
    const std::uint64_t version = object.value().m_version;
    if (version < m_heldVersion) {
        m_environment.m_log.warning(
            "control", "platform_went_back", { { "version", version }, { "held", m_heldVersion } });
        return "stale";
    }
    if (version <= std::max(m_heldVersion, m_refusedVersion))
        return m_environment.m_clock.now() - started < c_minimumWatchTime ? "answered_early" : "";
    Outcome<Configuration> configuration = parseConfiguration(object.value().m_body, ConfigVersion { version });
    if (!configuration) {
        m_refusedVersion = version;
        m_environment.m_log.error("control", "configuration_malformed",
            { { "version", version }, { "reason", configuration.error().m_message } });
        return "malformed";
    }
    m_heldVersion = version;
    m_environment.m_inbox.offerConfiguration(std::move(configuration).value());
    return "";
}

boost::asio::awaitable<void> PlatformTasks::readLists()
{
    Backoff backoff { c_retry, m_seed + 1, m_environment.m_clock.now() };
    while (true) {
        const std::uint64_t seen = m_listSignal.revision();
        if (!m_readsPlatform) {
            co_await m_listSignal.wait(seen);
            continue;
        }
        const Instant started = m_environment.m_clock.now();
        Outcome<std::vector<Member>> listed = co_await m_environment.m_client.listMembers(started + c_callTimeout);
        if (!listed) {
            co_await waitForRetry(backoff, "list", errorKindName(listed.error().m_kind));
            continue;
        }
        backoff.succeeded();
        const Duration interval
            = std::max(c_listInterval, c_listIntervalPerVm * static_cast<std::int64_t>(listed.value().size()));
        m_environment.m_inbox.applyList(std::move(listed).value());
        // Minimum interval between requested reads.
        co_await sleepUntil(started + c_listInterval / 4, m_environment.m_clock);
        co_await m_listSignal.waitUntil(started + interval, seen);
    }
}

boost::asio::awaitable<void> PlatformTasks::writeStatuses()
{
    while (true) {
        const std::uint64_t seen = m_statusSignal.revision();
        if (!m_status) {
            co_await m_statusSignal.wait(seen);
            continue;
        }
        const ZoneStatus status = std::move(*m_status);
        m_status.reset();
        co_await writeOneStatus(status);
    }
}

boost::asio::awaitable<void> PlatformTasks::writeOneStatus(const ZoneStatus& status)
{
    const Deadline deadline = m_environment.m_clock.now() + c_callTimeout;
    if (!m_statusVersion) {
        const Outcome<StoredObject> stored = co_await m_environment.m_client.read("status", status.m_zone, deadline);
        if (stored)
            m_statusVersion = stored.value().m_version;
        else if (stored.error().m_kind == ErrorKind::NotFound)
            m_statusVersion = 0;
        else
            co_return;
    }
    const Outcome<std::uint64_t> written = co_await m_environment.m_client.write(
        "status", status.m_zone, *m_statusVersion, formatZoneStatus(status, unixMilliseconds()), deadline);
    // After a failure, the next write first reads the stored version.
    m_statusVersion = written ? std::optional<std::uint64_t> { written.value() } : std::nullopt;
    if (!written)
        m_environment.m_metrics.counter("cuminrelay_status_failures_total", errorKindName(written.error().m_kind))
            .add();
}

boost::asio::awaitable<void> PlatformTasks::waitForRetry(
    Backoff& backoff, std::string_view task, std::string_view reason)
{
    m_environment.m_metrics.counter(c_retryCounter, reason).add();
    m_environment.m_log.warning("control", "platform_retry", { { "task", task }, { "reason", reason } });
    co_await sleepUntil(backoff.failed(m_environment.m_clock.now()), m_environment.m_clock);
}

} // namespace cuminrelay
