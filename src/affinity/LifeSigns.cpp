#include "affinity/LifeSigns.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    /// Age that another VM's finding may have on arrival; an answer here within it takes precedence.
    constexpr Duration c_hintAge = std::chrono::milliseconds { 200 };

    /// Answers are frequent if the last one came less than this before the request.
    constexpr Duration c_frequentAnswers = std::chrono::milliseconds { 500 };

    /// Unanswered requests that raise suspicion where answers are not frequent.
    constexpr std::uint32_t c_unansweredRequests = 2;

} // namespace

void LifeSigns::noteAnswer(Instant now)
{
    m_answeredAt = now;
    forgive();
}

void LifeSigns::noteUnansweredOpening(Instant sentAt)
{
    if (sentAt <= m_answeredAt)
        return;
    m_silentSince = m_silentSince == Instant {} ? sentAt : std::min(m_silentSince, sentAt);
    m_doubtedSince = m_silentSince;
    ++m_unanswered;
}

void LifeSigns::noteUnansweredData(Instant sentAt)
{
    if (sentAt <= m_answeredAt)
        return;
    ++m_unanswered;
    const bool isHeardOften = m_answeredAt != Instant {} && sentAt - m_answeredAt < c_frequentAnswers;
    if (m_unanswered < c_unansweredRequests && !isHeardOften)
        return;
    m_doubtedSince = m_doubtedSince == Instant {} ? sentAt : std::min(m_doubtedSince, sentAt);
}

void LifeSigns::noteHint(Instant now)
{
    if (now - m_answeredAt < c_hintAge)
        return;
    if (m_silentSince == Instant {})
        m_silentSince = now;
    if (m_doubtedSince == Instant {})
        m_doubtedSince = now;
}

void LifeSigns::forgive()
{
    m_silentSince = Instant {};
    m_doubtedSince = Instant {};
    m_unanswered = 0;
}

} // namespace cuminrelay
