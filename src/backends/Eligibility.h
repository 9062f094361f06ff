#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Time.h"

#include <cstdint>

namespace cuminrelay {

/// Permission to take new flows, or the reason against it. Not checked for established flows.
enum class Eligibility : std::uint8_t {
    Eligible,
    Undeclared,
    Unhealthy,
    Partitioned,
    Draining,
    Shedding,
    ConnectionLimit, ///< the estimated connections have reached the declared limit
};

/// Evaluates a status returned by BackendStatusTable::find; nullptr is Undeclared. The last reported health holds until
/// a newer report; shedding is short-lived and expires with the report. A connection limit of 0 means none.
Eligibility eligibilityOf(const BackendStatus* status, const BackendStatusTable& backendStatuses, Instant now);

} // namespace cuminrelay
