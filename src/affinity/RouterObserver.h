#pragma once

#include "affinity/BackendCatalog.h"
#include "base/Time.h"
#include "packets/Packet.h"

#include <cstdint>

namespace cuminrelay {

enum class PlacementCause : std::uint8_t {
    New, ///< first opening packet of the flow at this VM
    Retransmission, ///< retransmitted, to the same backend server
    SecondChoice, ///< retransmitted; the first choice is unresponsive or accepts no new flows
};

/// Receives each decision that affects a flow, for logs; not the forwarding of an established flow's packets.
class RouterObserver {
public:
    RouterObserver() = default;
    RouterObserver(const RouterObserver&) = delete;
    RouterObserver& operator=(const RouterObserver&) = delete;
    virtual ~RouterObserver() = default;

    /// candidates: number of eligible backend servers.
    virtual void placed(const PacketSummary& packet, const TrackedBackend& backend, PlacementCause cause,
        std::size_t candidates, Instant now)
        = 0;

    /// Reports a packet that is refused, reset or dropped for a reason to be logged. backend: the flow's, or nullptr.
    virtual void rejected(
        const PacketSummary& packet, const PacketAction& action, const TrackedBackend* backend, Instant now)
        = 0;

    virtual void livenessChanged(const TrackedBackend& backend, bool isUnresponsive, Instant now) = 0;

    /// Reports that the reason of a backend server's pace has changed.
    virtual void paceChanged(const TrackedBackend& backend, const Pace& pace) = 0;
};

} // namespace cuminrelay
