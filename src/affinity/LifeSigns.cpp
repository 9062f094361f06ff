#include "affinity/LifeSigns.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr std::uint32_t c_deadRepetitions = 3; // one may be a lost packet, two a coincidence

} // namespace

void LifeSigns::noteAnswer(Instant now)
{
    m_answeredAt = now;
    forgive();
}

void LifeSigns::noteUnansweredOpening(Instant sentAt, Instant now)
{
    if (sentAt <= m_answeredAt)
        return;
    if (m_silentSince == Instant {}) {
        m_silentSince = sentAt;
        m_trialAt = now + c_trialInterval;
    }
    m_silentSince = std::min(m_silentSince, sentAt);
    ++m_unanswered;
}

void LifeSigns::noteUnansweredData(Instant now)
{
    // Data alone proves little, because a backend server that is busy acknowledges a single packet with its answer.
    if (m_silentSince != Instant {} && now > m_silentSince)
        ++m_unanswered;
}

bool LifeSigns::isSilent(Instant now) const
{
    return m_silentSince != Instant {} && now < m_trialAt;
}

void LifeSigns::beginTrial(Instant now)
{
    if (m_silentSince != Instant {})
        m_trialAt = now + c_trialInterval;
}

bool LifeSigns::seemsDead(Instant now) const
{
    return m_silentSince != Instant {} && m_unanswered >= c_deadRepetitions && now - m_silentSince >= c_deadSilence;
}

void LifeSigns::forgive()
{
    m_silentSince = Instant {};
    m_trialAt = Deadline {};
    m_unanswered = 0;
}

} // namespace cuminrelay
