#pragma once

#include "affinity/TokenRouter.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

namespace cuminrelay {

/// Logs each decision on a flow with its inputs, and counts the decisions.
class FlowLog final : public RouterObserver {
public:
    FlowLog(Log& log, Metrics& metrics);

    /// Sets the router whose decisions are logged. Call before the first decision.
    void setRouter(const TokenRouter& router) { m_router = &router; }

    void placed(const PacketSummary& packet, const TrackedBackend& backend, PlacementCause cause,
        std::size_t candidates, Instant now) override;
    void rejected(
        const PacketSummary& packet, const PacketAction& action, const TrackedBackend* backend, Instant now) override;
    void livenessChanged(const TrackedBackend& backend, bool isUnresponsive, Instant now) override;
    void paceChanged(const TrackedBackend& backend, const Pace& pace) override;

private:
    std::uint64_t version() const { return m_router ? m_router->configVersion().m_number : 0; }

    Log& m_log;
    Metrics& m_metrics;
    const TokenRouter* m_router = nullptr;
};

} // namespace cuminrelay
