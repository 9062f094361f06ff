#pragma once

#include "base/Time.h"
#include "configuration/Model.h"

#include <cstdint>

namespace cuminrelay {

/// Names one backend server for the packets that are sent to it: whoever else has its address ignores them.
struct BackendIdentity {
    std::uint64_t m_value = 0;

    friend constexpr auto operator<=>(BackendIdentity, BackendIdentity) = default;
};

/// What a flow's packets carry to name its backend server, computed from the identity alone, so that an entry VM which
/// has just started finds the backend server of every established flow. 0 names none.
struct BackendToken {
    std::uint32_t m_value = 0;

    friend constexpr auto operator<=>(BackendToken, BackendToken) = default;
};

/// The token of an identity; never 0. Two of 3,500 identities share one with a probability of 0.0015.
BackendToken tokenOf(BackendIdentity identity);

/// A backend server as it announces itself.
struct AnnouncedBackend {
    BackendIdentity m_identity;
    BackendServer m_server; ///< its tunnel is where its packets go
    std::uint64_t m_startedAtUnixMs = 0; ///< tells starts under one identity apart; 0: not announced
    Deadline m_warmAt {}; ///< until then it is slower than usual
};

} // namespace cuminrelay
