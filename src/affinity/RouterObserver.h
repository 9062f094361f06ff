#pragma once

#include "affinity/BackendCatalog.h"
#include "base/Time.h"
#include "packets/Packet.h"

#include <cstdint>

namespace cuminrelay {

/// Why an opening went where it went.
enum class PlacementCause : std::uint8_t {
    New, ///< the flow's first opening here
    Copy, ///< sent again, to the same backend server
    SecondChoice, ///< sent again, because the first choice is silent or takes no new flows
};

/// Told of each decision that touches a flow, for logs. Established packets are no decisions.
class RouterObserver {
public:
    RouterObserver() = default;
    RouterObserver(const RouterObserver&) = delete;
    RouterObserver& operator=(const RouterObserver&) = delete;
    virtual ~RouterObserver() = default;

    virtual void placed(const PacketSummary& packet, const KnownBackend& backend, PlacementCause cause,
        std::size_t candidates, Instant now)
        = 0;

    /// Refused, reset or dropped for a reason that is worth a line. backend: the flow's, or nullptr when unknown.
    virtual void turnedAway(
        const PacketSummary& packet, const Verdict& verdict, const KnownBackend* backend, Instant now)
        = 0;

    /// What is believed of a backend server's life has changed.
    virtual void lifeChanged(const KnownBackend& backend, bool silent, Instant now) = 0;
};

} // namespace cuminrelay
