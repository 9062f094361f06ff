#include "relay/RelayGauges.h"

#include <array>
#include <string_view>

namespace cuminrelay {

namespace {

    /// A backend server counts under the first state that applies.
    enum class BackendState : std::uint8_t {
        Departed,
        Dead,
        Unresponsive,
        Expired,
        Draining,
        Ready,
        Count,
    };

    constexpr std::array<std::string_view, static_cast<std::size_t>(BackendState::Count)> c_stateNames { "departed",
        "dead", "silent", "lapsed", "draining", "ready" };

    BackendState stateOf(const TrackedBackend& backend)
    {
        if (backend.m_presence == Presence::Departed)
            return BackendState::Departed;
        if (backend.m_confirmedDead)
            return BackendState::Dead;
        if (backend.m_liveness.isUnresponsive())
            return BackendState::Unresponsive;
        if (backend.m_presence == Presence::Expired)
            return BackendState::Expired;
        return backend.m_announced.m_server.m_draining ? BackendState::Draining : BackendState::Ready;
    }

} // namespace

RelayGauges::RelayGauges(Metrics& metrics)
    : m_metrics(metrics)
{
}

void RelayGauges::update(const TokenRouter& router, const RelayStatus& status, Instant now)
{
    const std::chrono::duration<double> age = now - status.m_stateConfirmedAt;
    m_metrics.gauge("cuminrelay_knowledge_age_seconds").set(status.m_stateConfirmedAt == Instant {} ? -1 : age.count());
    m_metrics.gauge("cuminrelay_config_version").set(static_cast<double>(router.configVersion().m_number));
    m_metrics.gauge("cuminrelay_config_unreadable").set(status.m_isStoredConfigUnreadable ? 1 : 0);
    m_metrics.gauge("cuminrelay_ready").set(status.m_isReady ? 1 : 0);
    m_metrics.gauge("cuminrelay_follows_store").set(status.m_followsStore ? 1 : 0);
    m_metrics.gauge("cuminrelay_peers", "own_zone").set(static_cast<double>(status.m_localZonePeers));
    m_metrics.gauge("cuminrelay_peers", "all").set(static_cast<double>(status.m_peers));
    m_metrics.gauge("cuminrelay_unnamed_backends").set(static_cast<double>(router.unnamedBackends()));
    m_metrics.gauge("cuminrelay_tracked_flows").set(static_cast<double>(router.trackedFlows()));
    m_metrics.gauge("cuminrelay_contested_flows").set(static_cast<double>(router.contestedFlows().size()));
    countOverLimit("contested_flows", router.contestedFlows().refused(), m_countedContestedFlows);
    countOverLimit("pending_resets", router.pendingResets().refused(), m_countedPendingResets);
    m_metrics.gauge("cuminrelay_store_era").set(status.m_storeEra);
    updateEvacuations(status, now);
    updateWarmup(router, now);
    updateBackends(router);
    if (router.learnsPace())
        updatePaces(router, now);
}

void RelayGauges::updateEvacuations(const RelayStatus& status, Instant now)
{
    m_metrics.gauge("cuminrelay_evacuated_zones").set(static_cast<double>(status.m_evacuatedSince.size()));
    for (const auto& [zone, since] : status.m_evacuatedSince)
        m_exportedZones.insert(zone);
    for (const std::string& zone : m_exportedZones) {
        const auto evacuated = status.m_evacuatedSince.find(zone);
        const std::chrono::duration<double> age
            = evacuated != status.m_evacuatedSince.end() ? now - evacuated->second : Duration { 0 };
        m_metrics.gauge("cuminrelay_evacuation_age_seconds", zone)
            .set(evacuated != status.m_evacuatedSince.end() ? age.count() : -1);
    }
}

void RelayGauges::updateWarmup(const TokenRouter& router, Instant now)
{
    const WarmupCounts& counts = router.warmupCounts();
    m_metrics.gauge("cuminrelay_cold_backends").set(static_cast<double>(router.budgetedBackends(now)));
    m_metrics.counter("cuminrelay_warmup_total", "permit_used")
        .add(counts.m_permitsUsed - m_countedWarmup.m_permitsUsed);
    m_metrics.counter("cuminrelay_warmup_total", "left_out").add(counts.m_leftOut - m_countedWarmup.m_leftOut);
    m_countedWarmup = counts;
}

void RelayGauges::countOverLimit(std::string_view limit, std::uint64_t total, std::uint64_t& counted)
{
    m_metrics.counter("cuminrelay_flows_over_limit_total", limit).add(total - counted);
    counted = total;
}

void RelayGauges::updateBackends(const TokenRouter& router)
{
    std::array<std::size_t, c_stateNames.size()> counts {};
    router.backends().forEach(
        [&counts](const TrackedBackend& backend) { ++counts[static_cast<std::size_t>(stateOf(backend))]; });
    for (std::size_t i = 0; i < counts.size(); ++i)
        m_metrics.gauge("cuminrelay_backends", c_stateNames[i]).set(static_cast<double>(counts[i]));
}

void RelayGauges::updatePaces(const TokenRouter& router, Instant now)
{
    std::array<std::size_t, c_paceReasons> counts {};
    router.backends().forEach([&counts, now](const TrackedBackend& backend) {
        if (backend.acceptsNewFlows())
            ++counts[static_cast<std::size_t>(backend.m_pace.pace(now).m_reason)];
    });
    for (std::size_t i = 0; i < counts.size(); ++i)
        m_metrics.gauge("cuminrelay_backend_pace", paceReasonName(static_cast<PaceReason>(i)))
            .set(static_cast<double>(counts[i]));
}

} // namespace cuminrelay
