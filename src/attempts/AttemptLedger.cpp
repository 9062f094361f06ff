#include "attempts/AttemptLedger.h"

#include "base/Assert.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    bool isInFlight(AttemptState state)
    {
        return state == AttemptState::Dispatched || state == AttemptState::Accepted;
    }

    Deadline addSaturating(Deadline deadline, Duration by)
    {
        return deadline > Deadline::max() - by ? Deadline::max() : deadline + by;
    }

} // namespace

AttemptLedger::AttemptLedger(const Parameters& parameters)
    : m_parameters(parameters)
    , m_budget(parameters.m_retryBudget)
{
    CR_ASSERT(parameters.m_maximumAttempts >= 1 && parameters.m_maximumAttempts <= s_attemptLimit,
        "the number of attempts must be between 1 and s_attemptLimit");
}

bool AttemptLedger::Entry::mayHaveRun() const
{
    if (m_request.m_isRepeat)
        return true;
    const auto end = m_attempts.begin() + m_attemptCount;
    return std::any_of(m_attempts.begin(), end, [](const AttemptRecord& record) {
        return isInFlight(record.m_state) || record.m_state == AttemptState::Unknown
            || record.m_state == AttemptState::Answered;
    });
}

AttemptDecision AttemptLedger::open(const Request& request, Instant now)
{
    const AttemptId first { request.m_id, 0 };
    if (Entry* const entry = find(request.m_id))
        return openRepeated(*entry, request);
    if (const AttemptReason rejection = openRejection(request, now); rejection != AttemptReason::None) {
        count(request.m_isRepeat ? m_unknownOutcomes : m_refusals, rejection);
        const AttemptDirective report
            = request.m_isRepeat ? AttemptDirective::ReportUnknown : AttemptDirective::ReportNotRun;
        return { report, rejection, first, {} };
    }
    m_budget.deposit();
    Entry& entry = m_entries[request.m_id.m_value];
    entry.m_request = request;
    m_deadlines.push({ request.m_deadline, request.m_id });
    m_evictions.push({ addSaturating(request.m_deadline, m_parameters.m_identityRetention), request.m_id });
    return { AttemptDirective::Dispatch, AttemptReason::None, first, {} };
}

AttemptDecision AttemptLedger::openRepeated(Entry& entry, const Request& request)
{
    if (!request.m_isRepeat)
        return drop(entry.currentId(), AttemptReason::DuplicateRequest);
    // Another front end may have run the request.
    entry.m_request.m_isRepeat = true;
    if (!entry.m_isFinished)
        return drop(entry.currentId(), AttemptReason::DuplicateRequest);
    count(m_unknownOutcomes, AttemptReason::DuplicateRequest);
    return { AttemptDirective::ReportUnknown, AttemptReason::DuplicateRequest, entry.currentId(), {} };
}

AttemptDecision AttemptLedger::dispatch(RequestId request, Endpoint backend, Instant now)
{
    Entry* const entry = find(request);
    if (!entry)
        return drop({ request, 0 }, AttemptReason::UnknownRequest);
    AttemptRecord& record = entry->current();
    if (entry->m_isFinished || record.m_state != AttemptState::Queued)
        return drop(entry->currentId(), AttemptReason::StaleEvent);
    if (now >= entry->m_request.m_deadline)
        return end(*entry, AttemptReason::DeadlinePassed);
    record.m_state = AttemptState::Dispatched;
    record.m_backend = backend;
    return { AttemptDirective::Wait, AttemptReason::None, entry->currentId(), {} };
}

AttemptDecision AttemptLedger::recordAccepted(AttemptId attempt, Endpoint backend)
{
    AttemptDecision failure;
    AttemptRecord* const record = findDispatched(attempt, backend, failure);
    if (!record)
        return failure;
    if (record->m_state != AttemptState::Dispatched)
        return drop(attempt, AttemptReason::StaleEvent);
    record->m_state = AttemptState::Accepted;
    return { AttemptDirective::Wait, AttemptReason::None, attempt, {} };
}

AttemptDecision AttemptLedger::recordRefused(AttemptId attempt, Endpoint backend, Instant now)
{
    AttemptDecision failure;
    AttemptRecord* const record = findDispatched(attempt, backend, failure);
    if (!record)
        return failure;
    // The handshake ends with acceptance, so a later refusal does not show that the attempt has not run.
    if (record->m_state != AttemptState::Dispatched)
        return drop(attempt, AttemptReason::StaleEvent);
    return recordNotRun(attempt, *record, AttemptState::RefusedNotRun, AttemptReason::RefusedInHandshake, now);
}

AttemptDecision AttemptLedger::recordShed(AttemptId attempt, Endpoint backend, Instant now)
{
    AttemptDecision failure;
    AttemptRecord* const record = findDispatched(attempt, backend, failure);
    if (!record)
        return failure;
    if (!isInFlight(record->m_state))
        return drop(attempt, AttemptReason::StaleEvent);
    return recordNotRun(attempt, *record, AttemptState::ShedNotRun, AttemptReason::ShedNotRun, now);
}

AttemptDecision AttemptLedger::recordAnswered(AttemptId attempt, Endpoint backend)
{
    AttemptDecision failure;
    AttemptRecord* const record = findDispatched(attempt, backend, failure);
    if (!record)
        return failure;
    Entry& entry = *find(attempt.m_request);
    if (!isInFlight(record->m_state) && record->m_state != AttemptState::Unknown)
        return drop(attempt, AttemptReason::ContradictoryAnswer);
    record->m_state = AttemptState::Answered;
    entry.m_isFinished = true;
    AttemptDecision decision { AttemptDirective::Deliver, AttemptReason::None, attempt, {} };
    // A later attempt of an idempotent request may still be in flight; its answer is no longer needed.
    if (isInFlight(entry.current().m_state))
        decision.m_cancelTarget = entry.current().m_backend;
    return decision;
}

AttemptDecision AttemptLedger::recordLost(AttemptId attempt, Endpoint backend, Instant now)
{
    AttemptDecision failure;
    AttemptRecord* const record = findDispatched(attempt, backend, failure);
    if (!record)
        return failure;
    if (!isInFlight(record->m_state))
        return drop(attempt, AttemptReason::StaleEvent);
    record->m_state = AttemptState::Unknown;
    Entry& entry = *find(attempt.m_request);
    if (entry.m_request.m_isIdempotent && m_parameters.m_retriesUnknownIdempotent)
        return retryOrEnd(entry, AttemptReason::ConnectionLost, now);
    return end(entry, AttemptReason::ConnectionLost);
}

AttemptDecision AttemptLedger::cancel(RequestId request)
{
    Entry* const entry = find(request);
    if (!entry)
        return drop({ request, 0 }, AttemptReason::UnknownRequest);
    if (entry->m_isFinished || entry->m_isCancelled)
        return drop(entry->currentId(), AttemptReason::StaleEvent);
    entry->m_isCancelled = true;
    if (!isInFlight(entry->current().m_state))
        return end(*entry, AttemptReason::Cancelled);
    return { AttemptDirective::Wait, AttemptReason::Cancelled, entry->currentId(), entry->current().m_backend };
}

std::size_t AttemptLedger::expire(std::span<AttemptDecision> decisions, Instant now)
{
    CR_ASSERT(!decisions.empty(), "decisions must not be empty");
    std::size_t written = 0;
    while (written < decisions.size() && !m_deadlines.empty() && m_deadlines.top().m_at <= now) {
        Entry* const entry = find(m_deadlines.top().m_request);
        m_deadlines.pop();
        if (entry && !entry->m_isFinished)
            decisions[written++] = end(*entry, AttemptReason::DeadlinePassed);
    }
    // Evicts only after the loop above: the end of a request is reported before its identity is removed.
    while (written < decisions.size() && !m_evictions.empty() && m_evictions.top().m_at <= now) {
        m_entries.erase(m_evictions.top().m_request.m_value);
        m_evictions.pop();
    }
    return written;
}

std::optional<AttemptState> AttemptLedger::stateOf(AttemptId attempt) const
{
    const auto position = m_entries.find(attempt.m_request.m_value);
    if (position == m_entries.end() || attempt.m_number >= position->second.m_attemptCount)
        return std::nullopt;
    return position->second.m_attempts[attempt.m_number].m_state;
}

AttemptLedger::Entry* AttemptLedger::find(RequestId request)
{
    const auto position = m_entries.find(request.m_value);
    return position == m_entries.end() ? nullptr : &position->second;
}

AttemptLedger::AttemptRecord* AttemptLedger::findDispatched(
    AttemptId attempt, Endpoint backend, AttemptDecision& failure)
{
    Entry* const entry = find(attempt.m_request);
    if (!entry) {
        failure = drop(attempt, AttemptReason::UnknownRequest);
        return nullptr;
    }
    if (attempt.m_number >= entry->m_attemptCount
        || entry->m_attempts[attempt.m_number].m_state == AttemptState::Queued) {
        failure = drop(attempt, AttemptReason::ContradictoryAnswer);
        return nullptr;
    }
    AttemptRecord& record = entry->m_attempts[attempt.m_number];
    if (record.m_backend != backend) {
        failure = drop(attempt, AttemptReason::MisroutedAnswer);
        return nullptr;
    }
    if (entry->m_isFinished) {
        failure = drop(attempt, AttemptReason::LateAnswer);
        return nullptr;
    }
    return &record;
}

AttemptDecision AttemptLedger::recordNotRun(
    AttemptId attempt, AttemptRecord& record, AttemptState notRunState, AttemptReason cause, Instant now)
{
    record.m_state = notRunState;
    return retryOrEnd(*find(attempt.m_request), cause, now);
}

AttemptReason AttemptLedger::openRejection(const Request& request, Instant now) const
{
    if (request.m_isRepeat && !request.m_isIdempotent)
        return AttemptReason::NonIdempotentRepeat;
    if (m_entries.size() >= m_parameters.m_capacity)
        return AttemptReason::LedgerFull;
    if (now >= request.m_deadline)
        return AttemptReason::DeadlinePassed;
    return AttemptReason::None;
}

AttemptReason AttemptLedger::retryRejection(const Entry& entry, Instant now)
{
    if (entry.m_isCancelled)
        return AttemptReason::Cancelled;
    if (now >= entry.m_request.m_deadline)
        return AttemptReason::DeadlinePassed;
    if (entry.m_attemptCount >= m_parameters.m_maximumAttempts)
        return AttemptReason::AttemptsExhausted;
    if (!m_budget.withdraw())
        return AttemptReason::RetryBudgetExhausted;
    return AttemptReason::None;
}

AttemptDecision AttemptLedger::retryOrEnd(Entry& entry, AttemptReason cause, Instant now)
{
    const AttemptReason rejection = retryRejection(entry, now);
    if (rejection != AttemptReason::None)
        return end(entry, rejection);
    count(m_retries, cause);
    ++entry.m_attemptCount;
    return { AttemptDirective::Dispatch, cause, entry.currentId(), {} };
}

AttemptDecision AttemptLedger::end(Entry& entry, AttemptReason cause)
{
    AttemptDecision decision { AttemptDirective::ReportNotRun, cause, entry.currentId(), {} };
    if (entry.mayHaveRun())
        decision.m_directive = AttemptDirective::ReportUnknown;
    AttemptRecord& record = entry.current();
    if (isInFlight(record.m_state)) {
        record.m_state = AttemptState::Unknown;
        decision.m_cancelTarget = record.m_backend;
    }
    entry.m_isFinished = true;
    count(decision.m_directive == AttemptDirective::ReportNotRun ? m_refusals : m_unknownOutcomes, cause);
    return decision;
}

AttemptDecision AttemptLedger::drop(AttemptId attempt, AttemptReason cause)
{
    count(m_drops, cause);
    return { AttemptDirective::Drop, cause, attempt, {} };
}

void AttemptLedger::count(AttemptCounters& counters, AttemptReason reason)
{
    ++counters[static_cast<std::size_t>(reason)];
}

} // namespace cuminrelay
