#pragma once

#include "affinity/TokenRouter.h"
#include "base/Time.h"
#include "observe/Metrics.h"

#include <cstddef>

namespace cuminrelay {

/// Where a process has what it believes from, for its gauges.
struct KnowledgeSource {
    bool m_isReady = false; ///< as the fabric is told
    bool m_followsStore = false; ///< itself, and the store answers
    Instant m_currentAt {}; ///< when the store, or a VM that follows it, was last heard; epoch: never
    std::size_t m_nearPeers = 0;
    std::size_t m_peers = 0;
};

/// Shows what a relay process believes, and how old that is, as gauges: cuminrelay_config_version, cuminrelay_ready,
/// cuminrelay_backends by state, cuminrelay_peers, cuminrelay_tracked_flows, cuminrelay_follows_store and
/// cuminrelay_knowledge_age_seconds (-1: nothing is known). Cost of an update: O(backend servers).
class BeliefGauges {
public:
    /// metrics must outlive it.
    explicit BeliefGauges(Metrics& metrics);

    void update(const TokenRouter& router, const KnowledgeSource& source, Instant now);

private:
    void updateBackends(const TokenRouter& router);

    Metrics& m_metrics;
};

} // namespace cuminrelay
