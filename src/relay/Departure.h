#pragma once

#include "base/Time.h"

namespace cuminrelay {

/// Decides when a stopping process may end: after the fabric has removed this entry VM, so that no packet is lost, or
/// shortly before the deadline.
class Departure {
public:
    /// The fabric removes a VM after this many "not ready" answers.
    static constexpr unsigned s_refusalsNeeded = 2;

    /// startedAt: time of the stop request. endBy: when the process must have ended.
    Departure(Instant begun, Deadline endBy);

    /// Records a packet from the fabric.
    void notePacket(Instant now) { m_packetAt = now; }

    /// Whether the process may end. notReadyAnswers: to the fabric, since the VM was last ready.
    bool mayEnd(unsigned refusals, Instant now);

private:
    Deadline m_endBy;
    Instant m_packetAt;
    Instant m_refusedAt {}; ///< when mayEnd first got s_refusalsNeeded answers; epoch before
};

} // namespace cuminrelay
