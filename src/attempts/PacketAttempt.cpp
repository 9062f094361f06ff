#include "attempts/PacketAttempt.h"

namespace cuminrelay {

bool mayRefuseAsNotRun(const PacketAttempt& attempt)
{
    return !attempt.m_openingHanded && !attempt.m_laterPacketHanded && !attempt.m_datagramHanded;
}

PacketRetry packetRetry(const PacketAttempt& attempt)
{
    if (mayRefuseAsNotRun(attempt))
        return PacketRetry::AnyBackend;
    const bool mayHaveRun = attempt.m_openingCarriedPayload || attempt.m_laterPacketHanded || attempt.m_datagramHanded;
    if (mayHaveRun || !attempt.m_backendGone)
        return PacketRetry::SameBackendOnly;
    return PacketRetry::AnyBackend;
}

} // namespace cuminrelay
