#pragma once

#include "affinity/Backend.h"
#include "base/Time.h"

#include <cstdint>

namespace cuminrelay {

/// The token in a caller's packet, which is the last one that the caller received from a backend server. The kind says
/// which packet the backend server had got it with.
///
/// Several backend servers may answer copies of an opening packet. Each of them repeats its answer for seconds, with
/// the token of its copy, also after the flow was opened at another one. Only a Settled token therefore proves where a
/// flow is open: backend servers get it with the packets after the opening, which go to the one that holds the flow.
///
/// Wire format: a settled token is the backend server's token, below 2^31. An opening token has bit 31 set, bit 30 for
/// a copy, then 8 bits of time and the low 22 bits of the backend server's token.
struct CarriedToken {
    enum class Kind : std::uint8_t {
        None,
        Settled, ///< of a packet after the opening
        Opening, ///< of the first opening packet of a flow, as far as its VM knew
        CopiedOpening, ///< of an opening packet whose other copies may have reached another backend server
    };

    Kind m_kind = Kind::None;
    std::uint32_t m_backendBits = 0; ///< of the backend server's token: all if Settled, otherwise the low 22
    std::uint8_t m_time = 0; ///< of an opening, in units of s_timeUnit, modulo 2^8

    /// Resolution of an opening's time. Times within 64 s are told apart: the maximum lifetime of a flow is 60 s.
    static constexpr Duration s_timeUnit = std::chrono::milliseconds { 250 };

    /// By which minAge may fall short of the age.
    static constexpr Duration s_maxAgeError = 2 * s_timeUnit;

    static CarriedToken decode(std::uint32_t value);

    /// The token for an opening packet. timeOfDay: of this VM, which may differ from that of others.
    static std::uint32_t encodeOpening(BackendToken backend, bool isCopy, Duration timeOfDay);

    bool isOpening() const { return m_kind == Kind::Opening || m_kind == Kind::CopiedOpening; }

    /// Whether the token may be of a backend server. Several may share the bits of an opening token.
    bool mayName(BackendToken backend) const;

    /// The least time since the opening, if the clocks of the VMs agree. A time that lies ahead, by the difference of
    /// two clocks, counts as now.
    Duration minAge(Duration timeOfDay) const;
};

} // namespace cuminrelay
