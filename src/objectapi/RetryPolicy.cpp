#include "objectapi/RetryPolicy.h"

#include "base/Hash.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr Duration c_initialBackoff = std::chrono::milliseconds { 50 };
    constexpr Duration c_maximumBackoff = std::chrono::seconds { 2 };
    constexpr unsigned c_maximumDoublings = 10;

} // namespace

BudgetedRetryPolicy::BudgetedRetryPolicy(Limits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_seed(seed)
    , m_availableCredit(std::uint64_t { limits.m_maximumSavedRetries } * limits.m_callsPerRetry)
{
}

void BudgetedRetryPolicy::recordCall()
{
    const std::uint64_t maximumCredit = std::uint64_t { m_limits.m_maximumSavedRetries } * m_limits.m_callsPerRetry;
    m_availableCredit = std::min(m_availableCredit + 1, maximumCredit);
}

RetryDecision BudgetedRetryPolicy::decide(const FailedCall& call, Instant now)
{
    if (call.m_error == ErrorKind::OutcomeUnknown)
        return { std::nullopt, "outcome_unknown" };
    if (call.m_error != ErrorKind::Unavailable)
        return {};
    if (call.m_attempts >= m_limits.m_attempts)
        return { std::nullopt, "attempts" };
    const Instant at = now + backoff(call.m_attempts);
    if (at >= call.m_deadline)
        return { std::nullopt, "deadline" };
    if (m_availableCredit < m_limits.m_callsPerRetry)
        return { std::nullopt, "budget" };
    m_availableCredit -= m_limits.m_callsPerRetry;
    return { at, "unavailable" };
}

/// The delay doubles with each attempt up to the maximum; the jitter subtracts up to half of it.
Duration BudgetedRetryPolicy::backoff(unsigned attempts)
{
    const Duration doubled = c_initialBackoff * (1U << std::min(attempts - 1, c_maximumDoublings));
    const Duration fullDelay = std::min(doubled, c_maximumBackoff);
    const std::uint64_t jitter
        = hashPair(m_seed, ++m_jitterCount) % static_cast<std::uint64_t>(fullDelay.count() / 2 + 1);
    return fullDelay / 2 + Duration { static_cast<std::int64_t>(jitter) };
}

} // namespace cuminrelay
