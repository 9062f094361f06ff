#include "affinity/LivenessTracker.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// Maximum age of another VM's finding on arrival; an answer recorded here within it takes precedence.
    constexpr Duration c_maxHintAge = std::chrono::milliseconds { 200 };

    /// Answers are frequent if the last one came less than this before the request.
    constexpr Duration c_frequentAnswerGap = std::chrono::milliseconds { 500 };

    /// Unanswered requests that raise suspicion where answers are not frequent.
    constexpr std::uint32_t c_suspiciousRequestCount = 2;

} // namespace

void LivenessTracker::recordAnswer(Instant now)
{
    m_answeredAt = now;
    clearSuspicion();
}

void LivenessTracker::recordUnansweredOpening(Instant sentAt)
{
    if (sentAt <= m_answeredAt)
        return;
    m_unresponsiveSince = m_unresponsiveSince == Instant {} ? sentAt : std::min(m_unresponsiveSince, sentAt);
    m_suspectedSince = m_unresponsiveSince;
    ++m_unanswered;
}

void LivenessTracker::recordUnansweredData(Instant sentAt)
{
    if (sentAt <= m_answeredAt)
        return;
    ++m_unanswered;
    const bool hasFrequentAnswers = m_answeredAt != Instant {} && sentAt - m_answeredAt < c_frequentAnswerGap;
    if (m_unanswered < c_suspiciousRequestCount && !hasFrequentAnswers)
        return;
    m_suspectedSince = m_suspectedSince == Instant {} ? sentAt : std::min(m_suspectedSince, sentAt);
}

void LivenessTracker::recordHint(Instant now)
{
    if (now - m_answeredAt < c_maxHintAge)
        return;
    if (m_unresponsiveSince == Instant {})
        m_unresponsiveSince = now;
    if (m_suspectedSince == Instant {})
        m_suspectedSince = now;
}

void LivenessTracker::clearSuspicion()
{
    m_unresponsiveSince = Instant {};
    m_suspectedSince = Instant {};
    m_unanswered = 0;
}

} // namespace cuminrelay
