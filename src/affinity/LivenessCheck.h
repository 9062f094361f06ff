#pragma once

#include "affinity/LivenessProbe.h"

#include <optional>

namespace cuminrelay {

/// Decides from rounds of probes whether a backend server is dead. The first round probes it alone, because its answer
/// ends most suspicions. Each further round also probes a control, a backend server that answered recently, at the same
/// time: a round counts only if the control answers and the suspected one does not. A saturated or failed link of this
/// VM, or a process without processor time, fails both probes and proves nothing.
class LivenessCheck {
public:
    struct Round {
        ProbeOutcome m_outcome = ProbeOutcome::Unclear;
        bool m_hasControl = false;
        bool m_controlAnswered = false;
    };

    /// isRecheck: the backend server is already confirmed dead, so that one round decides.
    explicit LivenessCheck(bool isRecheck)
        : m_isRecheck(isRecheck)
    {
    }

    /// Applies a round; returns the finding, or nullopt if a further round is needed.
    std::optional<ProbeOutcome> apply(const Round& round);

    bool needsControl() const { return m_rounds > 0; }

private:
    static constexpr int s_failedRoundsNeeded = 2; ///< one lost packet must not decide
    static constexpr int s_maxRounds = 6;

    bool m_isRecheck;
    int m_rounds = 0;
    int m_failedRounds = 0;
};

} // namespace cuminrelay
