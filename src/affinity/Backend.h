#pragma once

#include "base/Time.h"
#include "configuration/Model.h"

#include <cstdint>

namespace cuminrelay {

/// Identity of a backend server, carried by the packets sent to it. Another server at its address ignores them. Never 0
/// in an AnnouncedBackend: packets with the identity 0 are accepted by any server.
struct BackendIdentity {
    std::uint64_t m_value = 0;

    friend constexpr auto operator<=>(BackendIdentity, BackendIdentity) = default;
};

/// Token by which a flow's packets name its backend server, below 2^31; 0: none. Computed from the identity alone, so
/// that a newly started entry VM finds the backend server of every established flow.
struct BackendToken {
    std::uint32_t m_value = 0;

    friend constexpr auto operator<=>(BackendToken, BackendToken) = default;
};

/// Returns the token of an identity; never 0. Two of 3,500 identities share a token with a probability of 0.003.
BackendToken tokenOf(BackendIdentity identity);

/// Backend server as announced by its store entry.
struct AnnouncedBackend {
    BackendIdentity m_identity;
    BackendServer m_server; ///< packets are sent to its tunnel endpoint
    std::uint64_t m_startedAtUnixMs = 0; ///< distinguishes restarts under one identity; never 0 in a store entry
    std::uint64_t m_sequence = 0; ///< rises with each write of the entry since the start
    Deadline m_warmAt {}; ///< end of the warm-up, during which it is slower
};

} // namespace cuminrelay
