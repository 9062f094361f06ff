#include "bench/AttemptDecider.h"

namespace cuminrelay {

namespace {

    constexpr Duration c_retryTimeout = std::chrono::milliseconds { 300 };
    constexpr std::uint8_t c_maxRetries = 8;

} // namespace

AttemptDecision LedgerDecider::open(const Request& request, Instant now)
{
    return m_ledger.open(request, now);
}

AttemptDecision LedgerDecider::dispatch(RequestId request, Endpoint backend, Instant now)
{
    return m_ledger.dispatch(request, backend, now);
}

AttemptDecision LedgerDecider::recordAccepted(const AttemptEvent& event)
{
    return m_ledger.recordAccepted(event.m_namedAttempt, event.m_backend);
}

AttemptDecision LedgerDecider::recordRefused(const AttemptEvent& event, Instant now)
{
    return m_ledger.recordRefused(event.m_namedAttempt, event.m_backend, now);
}

AttemptDecision LedgerDecider::recordShed(const AttemptEvent& event, Instant now)
{
    return m_ledger.recordShed(event.m_namedAttempt, event.m_backend, now);
}

AttemptDecision LedgerDecider::recordAnswered(const AttemptEvent& event, bool isComplete, Instant now)
{
    if (!isComplete)
        return m_ledger.recordLost(event.m_connectionAttempt, event.m_backend, now);
    return m_ledger.recordAnswered(event.m_namedAttempt, event.m_backend);
}

AttemptDecision LedgerDecider::recordLost(const AttemptEvent& event, Instant now)
{
    return m_ledger.recordLost(event.m_connectionAttempt, event.m_backend, now);
}

AttemptDecision LedgerDecider::cancel(RequestId request)
{
    return m_ledger.cancel(request);
}

std::size_t LedgerDecider::expire(std::span<AttemptDecision> decisions, Instant now)
{
    return m_ledger.expire(decisions, now);
}

AttemptDecision RetryOnTimeoutDecider::open(const Request& request, Instant now)
{
    m_open[request.m_id] = { request, 0, now + c_retryTimeout };
    return { AttemptDirective::Dispatch, AttemptReason::None, { request.m_id, 0 }, {} };
}

AttemptDecision RetryOnTimeoutDecider::dispatch(RequestId request, Endpoint, Instant)
{
    const auto found = m_open.find(request);
    if (found == m_open.end())
        return { AttemptDirective::Drop, AttemptReason::UnknownRequest, { request, 0 }, {} };
    return { AttemptDirective::Wait, AttemptReason::None, { request, found->second.m_number }, {} };
}

AttemptDecision RetryOnTimeoutDecider::recordAccepted(const AttemptEvent& event)
{
    return { AttemptDirective::Wait, AttemptReason::None, event.m_connectionAttempt, {} };
}

AttemptDecision RetryOnTimeoutDecider::recordRefused(const AttemptEvent& event, Instant now)
{
    return retry(event.m_connectionAttempt.m_request, now);
}

AttemptDecision RetryOnTimeoutDecider::recordShed(const AttemptEvent& event, Instant now)
{
    return retry(event.m_connectionAttempt.m_request, now);
}

AttemptDecision RetryOnTimeoutDecider::recordAnswered(const AttemptEvent& event, bool, Instant)
{
    if (m_open.erase(event.m_connectionAttempt.m_request) == 0)
        return { AttemptDirective::Drop, AttemptReason::LateAnswer, event.m_connectionAttempt, {} };
    return { AttemptDirective::Deliver, AttemptReason::None, event.m_connectionAttempt, {} };
}

AttemptDecision RetryOnTimeoutDecider::recordLost(const AttemptEvent& event, Instant now)
{
    return retry(event.m_connectionAttempt.m_request, now);
}

AttemptDecision RetryOnTimeoutDecider::cancel(RequestId request)
{
    m_open.erase(request);
    return { AttemptDirective::ReportNotRun, AttemptReason::Cancelled, { request, 0 }, {} };
}

std::size_t RetryOnTimeoutDecider::expire(std::span<AttemptDecision> decisions, Instant now)
{
    std::size_t written = 0;
    for (auto position = m_open.begin(); position != m_open.end() && written < decisions.size();) {
        OpenRequest& open = position->second;
        if (now >= open.m_request.m_deadline) {
            decisions[written++] = { AttemptDirective::ReportNotRun, AttemptReason::DeadlinePassed,
                { open.m_request.m_id, open.m_number }, {} };
            position = m_open.erase(position);
            continue;
        }
        if (now >= open.m_retryAt && open.m_number < c_maxRetries)
            decisions[written++] = retry(open.m_request.m_id, now);
        ++position;
    }
    return written;
}

AttemptDecision RetryOnTimeoutDecider::retry(RequestId request, Instant now)
{
    const auto found = m_open.find(request);
    if (found == m_open.end() || found->second.m_number >= c_maxRetries)
        return { AttemptDirective::Wait, AttemptReason::None, { request, 0 }, {} };
    ++found->second.m_number;
    found->second.m_retryAt = now + c_retryTimeout;
    return { AttemptDirective::Dispatch, AttemptReason::None, { request, found->second.m_number }, {} };
}

} // namespace cuminrelay
