#pragma once

#include <cstdint>

namespace cuminrelay {

/// Packets sent in one flow and the state of its backend server. For front ends that do not parse requests.
struct PacketAttempt {
    bool m_openingSent = false; ///< a TCP SYN was sent to a backend server
    bool m_openingCarriedPayload = false; ///< the SYN carried data, which the backend server may have processed
    bool m_laterPacketSent = false; ///< a packet after the SYN was sent, so data may have been processed
    bool m_datagramSent = false;
    bool m_isBackendUnavailable = false; ///< refused the SYN or is down
};

/// Backend servers to which the next packet of a flow may be sent.
enum class PacketRetry : std::uint8_t {
    AnyBackend, ///< no work can have run: the flow may be placed, again or for the first time
    SameBackendOnly, ///< work may have run: retransmissions go to the backend server of the first packet
};

/// A SYN without data carries no work, so its flow may be placed again if the backend server is unavailable and no
/// later packet was sent. Any other flow with a sent packet stays: a second backend server would run its work again.
PacketRetry packetRetry(const PacketAttempt& attempt);

/// True while no packet of the flow was sent: it may be refused as not run.
bool mayRefuseAsNotRun(const PacketAttempt& attempt);

} // namespace cuminrelay
