#pragma once

#include "affinity/LifeProbe.h"

#include <optional>

namespace cuminrelay {

/// Decides from rounds of asking whether a backend server is dead. In the first round it is asked alone, because most
/// doubts end with its answer. In each further one a control, a backend server that answered lately, is asked at the
/// same moment: only a round in which the control answers and the other does not counts against the other. A link of
/// this VM that is full or cut, or a process that gets no processor time, fails both and proves nothing.
class DeathTrial {
public:
    /// What one round of questions brought.
    struct Round {
        ProbeOutcome m_outcome = ProbeOutcome::Unclear;
        bool m_hasControl = false;
        bool m_controlAnswered = false;
    };

    /// isRecheck: it was found dead before, and no answer changes nothing.
    explicit DeathTrial(bool isRecheck)
        : m_isRecheck(isRecheck)
    {
    }

    /// Takes a round; returns the finding once there is one.
    std::optional<ProbeOutcome> take(const Round& round);

    /// Whether the next round needs a control.
    bool needsControl() const { return m_rounds > 0; }

private:
    static constexpr int s_roundsAgainst = 2; ///< a lost packet does not decide
    static constexpr int s_mostRounds = 6;

    bool m_isRecheck;
    int m_rounds = 0;
    int m_against = 0;
};

} // namespace cuminrelay
