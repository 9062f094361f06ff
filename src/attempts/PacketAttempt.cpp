#include "attempts/PacketAttempt.h"

namespace cuminrelay {

bool mayRefuseAsNotRun(const PacketAttempt& attempt)
{
    return !attempt.m_openingSent && !attempt.m_laterPacketSent && !attempt.m_datagramSent;
}

PacketRetry packetRetry(const PacketAttempt& attempt)
{
    if (mayRefuseAsNotRun(attempt))
        return PacketRetry::AnyBackend;
    const bool mayHaveRun = attempt.m_openingCarriedPayload || attempt.m_laterPacketSent || attempt.m_datagramSent;
    if (mayHaveRun || !attempt.m_isBackendUnavailable)
        return PacketRetry::SameBackendOnly;
    return PacketRetry::AnyBackend;
}

} // namespace cuminrelay
