#pragma once

#include "affinity/TokenRouter.h"
#include "base/Time.h"
#include "observe/Metrics.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace cuminrelay {

/// The state of a process apart from its router, for the gauges.
struct RelayStatus {
    bool m_isReady = false; ///< as served to the fabric
    bool m_followsStore = false; ///< this process follows the store and the store answers
    Instant m_stateConfirmedAt {}; ///< as of which the state is known to have been the store's; epoch: unknown
    std::size_t m_localZonePeers = 0;
    std::size_t m_peers = 0;
    bool m_isStoredConfigUnreadable
        = false; ///< the store holds a later configuration than the one in force, unreadable
    std::uint32_t m_storeEra = 0; ///< of the state; 0: the store does not number its eras
    std::map<std::string, Instant> m_evacuatedSince {}; ///< by name of the evacuated zone
};

/// Exports the state of a relay process and its age as gauges: cuminrelay_config_version, cuminrelay_ready,
/// cuminrelay_backends by state, cuminrelay_backend_pace by reason if the pace is learned, cuminrelay_unnamed_backends,
/// cuminrelay_peers, cuminrelay_tracked_flows,
/// cuminrelay_contested_flows, cuminrelay_follows_store, cuminrelay_config_unreadable, cuminrelay_store_era,
/// cuminrelay_evacuated_zones, cuminrelay_evacuation_age_seconds by zone (-1: has ended) and
/// cuminrelay_knowledge_age_seconds (-1: no data). Also counts the flows that the router did not record because of a
/// limit: cuminrelay_flows_over_limit_total, and the budget of flows to cold backend servers:
/// cuminrelay_cold_backends and cuminrelay_warmup_total. An update costs O(backend servers).
class RelayGauges {
public:
    /// metrics must outlive this object.
    explicit RelayGauges(Metrics& metrics);

    void update(const TokenRouter& router, const RelayStatus& status, Instant now);

private:
    void updateBackends(const TokenRouter& router);
    void updateEvacuations(const RelayStatus& status, Instant now);
    void updateWarmup(const TokenRouter& router, Instant now);
    void updatePaces(const TokenRouter& router, Instant now);
    void countOverLimit(std::string_view limit, std::uint64_t total, std::uint64_t& counted);

    Metrics& m_metrics;
    std::set<std::string> m_exportedZones; ///< that were evacuated at an update
    std::uint64_t m_countedContestedFlows = 0;
    std::uint64_t m_countedPendingResets = 0;
    WarmupCounts m_countedWarmup;
};

} // namespace cuminrelay
