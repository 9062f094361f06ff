#include "objectapi/RetryingPlatformClient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cuminrelay {

namespace asio = boost::asio;

RetryingPlatformClient::RetryingPlatformClient(
    PlatformClient& client, RetryPolicy& policy, const Clock& clock, Metrics& metrics)
    : m_client(client)
    , m_policy(policy)
    , m_clock(clock)
    , m_metrics(metrics)
{
}

asio::awaitable<Outcome<StoredObject>> RetryingPlatformClient::read(
    std::string kind, std::string name, Deadline deadline)
{
    m_policy.recordCall();
    for (unsigned attempts = 1;; ++attempts) {
        Outcome<StoredObject> result = co_await m_client.read(kind, name, deadline);
        if (result || !co_await waitForRetry(result.error().m_kind, attempts, deadline))
            co_return result;
    }
}

asio::awaitable<Outcome<StoredObject>> RetryingPlatformClient::watch(
    std::string kind, std::string name, std::uint64_t heldVersion, Deadline deadline)
{
    co_return co_await m_client.watch(std::move(kind), std::move(name), heldVersion, deadline);
}

asio::awaitable<Outcome<std::uint64_t>> RetryingPlatformClient::write(
    std::string kind, std::string name, std::uint64_t expectedVersion, std::string body, Deadline deadline)
{
    m_policy.recordCall();
    for (unsigned attempts = 1;; ++attempts) {
        Outcome<std::uint64_t> result = co_await m_client.write(kind, name, expectedVersion, body, deadline);
        if (result || !co_await waitForRetry(result.error().m_kind, attempts, deadline))
            co_return result;
    }
}

asio::awaitable<Outcome<std::vector<Member>>> RetryingPlatformClient::listMembers(Deadline deadline)
{
    m_policy.recordCall();
    for (unsigned attempts = 1;; ++attempts) {
        Outcome<std::vector<Member>> result = co_await m_client.listMembers(deadline);
        if (result || !co_await waitForRetry(result.error().m_kind, attempts, deadline))
            co_return result;
    }
}

/// Waits until the time of the next attempt. Returns false if the call must not be repeated.
asio::awaitable<bool> RetryingPlatformClient::waitForRetry(ErrorKind error, unsigned attempts, Deadline deadline)
{
    const FailedCall call { error, attempts, deadline };
    const RetryDecision decision = m_policy.decide(call, m_clock.now());
    if (!decision.m_retryAt) {
        if (!decision.m_reason.empty())
            m_metrics.counter("cuminrelay_platform_gave_up_total", decision.m_reason).add();
        co_return false;
    }
    m_metrics.counter("cuminrelay_platform_retries_total", decision.m_reason).add();
    asio::steady_timer timer { co_await asio::this_coro::executor };
    timer.expires_after(*decision.m_retryAt - m_clock.now());
    boost::system::error_code canceled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, canceled));
    co_return !canceled;
}

} // namespace cuminrelay
