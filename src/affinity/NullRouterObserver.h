#pragma once

#include "affinity/RouterObserver.h"

namespace cuminrelay {

/// Ignores all decisions, for tests and the bench.
class NullRouterObserver final : public RouterObserver {
public:
    void placed(const PacketSummary&, const TrackedBackend&, PlacementCause, std::size_t, Instant) override { }
    void rejected(const PacketSummary&, const PacketAction&, const TrackedBackend*, Instant) override { }
    void livenessChanged(const TrackedBackend&, bool, Instant) override { }
    void paceChanged(const TrackedBackend&, const Pace&) override { }
};

} // namespace cuminrelay
