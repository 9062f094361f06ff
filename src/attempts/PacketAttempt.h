#pragma once

#include <cstdint>

namespace cuminrelay {

/// What a front end that sees only openings and datagrams knows of one flow's way to its backend server.
struct PacketAttempt {
    bool m_openingHanded = false; ///< a TCP opening was sent to a backend server
    bool m_openingCarriedPayload = false; ///< that opening carried data, which the backend server may have run
    bool m_laterPacketHanded = false; ///< any packet after the opening was sent, so that data may have run
    bool m_datagramHanded = false;
    bool m_backendGone = false; ///< it refused the opening, or it is known to be down
};

/// Where the next packet of a flow may go.
enum class PacketRetry : std::uint8_t {
    AnyBackend, ///< nothing can have run: the flow may be placed, again or for the first time
    SameBackendOnly, ///< work may have run: a retransmission goes where the first packet went
};

/// A bare opening carries no work, so a flow whose backend server is gone before any later packet was sent may be
/// placed again. Everything else that was handed over stays: a second backend server would run the work again.
PacketRetry packetRetry(const PacketAttempt& attempt);

/// Whether the caller may be told that its work was refused as not run: only while no packet was handed over.
bool mayRefuseAsNotRun(const PacketAttempt& attempt);

} // namespace cuminrelay
