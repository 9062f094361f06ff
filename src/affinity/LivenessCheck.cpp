#include "affinity/LivenessCheck.h"

namespace cuminrelay {

std::optional<ProbeOutcome> LivenessCheck::apply(const Round& round)
{
    ++m_rounds;
    if (round.m_outcome != ProbeOutcome::Unanswered || m_isRecheck)
        return round.m_outcome;
    if (m_rounds > 1 && !round.m_hasControl)
        return ProbeOutcome::Unclear; // cannot rule out a fault of this VM
    if (round.m_controlAnswered && ++m_failedRounds == s_failedRoundsNeeded)
        return ProbeOutcome::Unanswered;
    return m_rounds < s_maxRounds ? std::nullopt : std::optional { ProbeOutcome::Unclear };
}

} // namespace cuminrelay
