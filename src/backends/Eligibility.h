#pragma once

#include "backends/BackendBoard.h"
#include "base/Time.h"

#include <cstdint>

namespace cuminrelay {

/// Whether a backend server may take new flows, and if not, why. Established flows are never asked.
enum class Eligibility : std::uint8_t {
    Eligible,
    Undeclared,
    Unhealthy,
    BeyondCut,
    Draining,
    Shedding,
    ConnectionLimit, ///< its estimated connections have reached the declared limit
};

/// Decides on a status as BackendBoard::find returns it; nullptr is Undeclared. The last known health holds until a
/// newer report; shedding lapses with the report, since it lasts moments. A connection limit of 0 means none.
Eligibility eligibilityOf(const BackendStatus* status, const BackendBoard& board, Instant now);

} // namespace cuminrelay
