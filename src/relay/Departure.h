#pragma once

#include "base/Time.h"

namespace cuminrelay {

/// Decides when a process that was told to stop may end: once the fabric has let go of this entry VM, so that no packet
/// is lost, and before whoever told it loses patience.
class Departure {
public:
    /// The fabric takes a VM out after this many answers that it is not ready.
    static constexpr unsigned s_refusalsNeeded = 2;

    /// begun: when the process was told. endBy: when it has to have ended.
    Departure(Instant begun, Deadline endBy);

    /// A packet came from the fabric.
    void notePacket(Instant now) { m_packetAt = now; }

    /// refusals: how often the fabric was told "no".
    bool mayEnd(unsigned refusals, Instant now);

private:
    Deadline m_endBy;
    Instant m_packetAt;
    Instant m_refusedAt {}; ///< when enough refusals were first seen; epoch before
};

} // namespace cuminrelay
