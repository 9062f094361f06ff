#include "discovery/WatchSchedule.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr Duration c_readTimeout = std::chrono::milliseconds { 1'000 };

    /// Time for the answer at the end of a wait. The store usually answers in milliseconds.
    constexpr Duration c_answerTimeout = std::chrono::milliseconds { 1'000 };

    /// Changes arrive in groups: those within this time after a change are read with one call, not with one each.
    constexpr Duration c_coalescingTime = std::chrono::milliseconds { 400 };

    /// Waits are sent to the store in whole milliseconds.
    constexpr Duration c_waitResolution = std::chrono::milliseconds { 1 };

    constexpr Backoff::Limits c_retryLimits { std::chrono::milliseconds { 50 }, std::chrono::milliseconds { 1'000 },
        1'000 };

} // namespace

WatchSchedule::WatchSchedule(std::uint64_t seed, Instant now, Duration maxWait)
    : m_maxWait(maxWait)
    , m_backoff(c_retryLimits, seed, now)
{
}

WatchSchedule::Call WatchSchedule::begin(Instant now)
{
    m_calledAt = now;
    const bool isConfirming = std::exchange(m_isConfirming, false);
    // What came back unchanged makes no event: only a list shows which entries of an older copy were written again.
    if (m_readAllAt && now >= *m_readAllAt) {
        m_readAllAt.reset();
        m_hasCompleteState = false;
    }
    if (!m_hasCompleteState) {
        m_call = { true, now, now + c_readTimeout };
        return m_call;
    }
    // After a failure, a pause, or a time without calls the first call does not wait, so that the store's state is
    // known soon.
    const bool isRecent = isInContact() && now - m_answeredAt < m_maxWait;
    const Deadline longestWait = std::min(now + m_maxWait, m_readAllAt.value_or(Deadline::max()));
    const Deadline waitUntil = isRecent && !isConfirming ? longestWait : now;
    m_call = { false, waitUntil, waitUntil + c_answerTimeout };
    return m_call;
}

Deadline WatchSchedule::recordAnswer(const StoreAnswer& answer, Instant now)
{
    // Other VMs sent the state of a newer era during the call. The answer says nothing about that era.
    if (answer.m_revision.m_era < m_revision.m_era)
        return recordFailure(ErrorKind::Unavailable, now);
    const bool hasChanged = m_hasCompleteState && answer.m_revision > m_revision;
    if (m_revision != StoreRevision {} && answer.m_revision.m_era > m_revision.m_era)
        m_readAllAt = now + s_restoreSettleTime;
    beginEra(answer.m_revision);
    m_hasCompleteState = true;
    m_revision = std::max(m_revision, answer.m_revision);
    m_backoff.succeeded();
    m_isAnswered = true;
    m_answeredAt = now;
    // The store may have composed an answer with changes at any time since the call. Without changes it answers at the
    // end of the wait, unless something cut the wait short.
    const bool hasWaited = !answer.m_hasChanges && now >= m_call.m_waitUntil;
    const Instant confirmedAt = hasWaited ? m_call.m_waitUntil - c_waitResolution : m_calledAt;
    m_confirmedAt = std::max({ m_confirmedAt, m_calledAt, confirmedAt });
    return hasChanged ? now + c_coalescingTime : now;
}

Deadline WatchSchedule::recordFailure(ErrorKind kind, Instant now)
{
    if (kind == ErrorKind::Stale) {
        m_hasCompleteState = false;
        return now;
    }
    m_isAnswered = false;
    return m_backoff.failed(now);
}

void WatchSchedule::beginEra(StoreRevision revision)
{
    if (revision.m_era > m_revision.m_era)
        m_confirmedAt = Instant {};
}

void WatchSchedule::advanceTo(StoreRevision revision)
{
    beginEra(revision);
    m_revision = std::max(m_revision, revision);
    m_hasCompleteState = true;
}

} // namespace cuminrelay
