#pragma once

#include "base/Time.h"

namespace cuminrelay {

/// Decides when a stopping process may end: after the fabric has removed this entry VM, so that no packet is lost, or
/// shortly before the deadline.
class GracefulShutdown {
public:
    /// The fabric removes a VM after this many "not ready" answers.
    static constexpr unsigned s_requiredNotReadyAnswers = 2;

    /// startedAt: time of the stop request. deadline: when the process must have ended.
    GracefulShutdown(Instant startedAt, Deadline deadline);

    void recordPacket(Instant now) { m_lastPacketAt = now; }

    /// Whether the process may end. notReadyAnswers: to the fabric, since the VM was last ready.
    bool canExit(unsigned notReadyAnswers, Instant now);

private:
    Deadline m_exitAt; ///< the process may end from then on, whatever the fabric did
    Instant m_lastPacketAt;
    Instant m_removedAt {}; ///< first canExit call with s_requiredNotReadyAnswers answers; epoch: none yet
};

} // namespace cuminrelay
