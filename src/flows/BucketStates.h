#pragma once

#include "base/Time.h"
#include "configuration/Model.h"
#include "flows/OwnerMap.h"

#include <cstdint>
#include <vector>

namespace cuminrelay {

/// Longer than the keep-alive interval of common hosts, two hours, after which each live flow has shown a packet.
inline constexpr Duration c_quietFlow = std::chrono::minutes { 130 };

/// What one entry VM knows of one bucket, as its owner, its successor or its previous owner.
struct BucketState {
    // What each packet reads stands together.
    Endpoint m_warmingFrom; ///< the previous owner that is asked about unknown flows; empty when not needed
    Endpoint m_warmingNext; ///< who is asked after m_warmingFrom, the stand-in beyond a cut; empty when nobody
    Endpoint m_copyOf; ///< the owner whose exceptions this VM holds all, as its successor; empty when none
    Endpoint m_handedTo; ///< the member that asked for the bucket and decides for it now; empty when none
    Deadline m_handedUntil {}; ///< until when m_handedTo counts; by then the view has followed
    ConfigVersion m_base; ///< the version that untracked flows are on their default of; 0: unknown
    ConfigVersion m_nextBase; ///< what the base becomes once the successor holds the exceptions against it; 0: none
    Endpoint m_settledWith; ///< the successor that holds all exceptions against m_base; empty when none
    Deadline m_trustDefaultUntil {}; ///< until when openings may be retransmissions that the previous owner placed
    Deadline m_completeAt {}; ///< from when on each live flow has shown a packet here, so that the base may advance
    Deadline m_holdBackUntil {}; ///< until when unknown mid-stream packets wait for a holder that may come back
    Instant m_acquiredAt {};
    bool m_beyondCut = false; ///< taken from a zone that is cut off, where its flows live on
    bool m_owed = false; ///< owned when this VM began to leave and not yet handed over
    bool m_needsSettling = false;
};

/// The states of all buckets, by bucket. Memory: about 1.4 MB, fixed.
using BucketStates = std::vector<BucketState>;

} // namespace cuminrelay
