#pragma once

#include "base/Time.h"
#include "configuration/Model.h"
#include "flows/OwnerMap.h"

#include <cstdint>
#include <vector>

namespace cuminrelay {

/// Time within which every live flow sends a packet: exceeds the usual keep-alive interval of hosts, 2 h.
inline constexpr Duration c_keepAliveBound = std::chrono::minutes { 130 };

/// The state of one bucket at its owner, successor or previous owner.
struct BucketState {
    // The fields that are read for every packet come first.
    /// The VM to sync from, to which packets of unknown flows are forwarded; empty when not syncing.
    Endpoint m_syncSource;
    /// The VM to sync from after m_syncSource, such as the interim owner of another zone; empty when none.
    Endpoint m_nextSyncSource;
    /// The owner whose overrides this VM, its successor, holds completely; empty when none.
    Endpoint m_replicatedOwner;
    /// The member that requested the bucket and now routes its packets; empty when none.
    Endpoint m_handedOverTo;
    /// When m_handedOverTo expires; by then the view shows that member as the owner.
    Deadline m_handoverExpires {};
    /// The base version: untracked flows are on this configuration version's defaults; 0: unknown.
    ConfigVersion m_base;
    /// Becomes m_base once the successor holds the overrides against it; 0: none.
    ConfigVersion m_nextBase;
    /// The successor that holds all overrides against m_base; empty when none.
    Endpoint m_synchronizedSuccessor;
    /// Until then an opening packet may be a retransmission of one that the previous owner placed.
    Deadline m_retransmissionsUntil {};
    /// From then on every live flow has sent a packet through this VM, so that m_base may advance.
    Deadline m_allFlowsSeenAt {};
    /// Until then mid-stream packets of unknown flows are dropped, as a VM that holds the flows may come back.
    Deadline m_dropUnknownUntil {};
    /// When this VM became the owner or completed a handover.
    Instant m_acquiredAt {};
    /// This VM is the interim owner: the regular owner is in a partitioned zone, where the flows continue.
    bool m_isInterimOwner = false;
    /// This VM is leaving, owned the bucket and has not handed it over.
    bool m_isHandoverPending = false;
    bool m_needsSynchronizing = false;
};

/// Indexed by bucket. Memory: about 1.4 MB, fixed.
using BucketStates = std::vector<BucketState>;

} // namespace cuminrelay
