#pragma once

#include "affinity/RouterObserver.h"

namespace cuminrelay {

/// Ignores all decisions, for tests and the bench.
class SilentObserver final : public RouterObserver {
public:
    void placed(const PacketSummary&, const KnownBackend&, PlacementCause, std::size_t, Instant) override { }
    void turnedAway(const PacketSummary&, const Verdict&, const KnownBackend*, Instant) override { }
    void lifeChanged(const KnownBackend&, bool, Instant) override { }
};

} // namespace cuminrelay
