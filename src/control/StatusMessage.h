#pragma once

#include "control/FleetListener.h"

#include <cstdint>
#include <string>

namespace cuminrelay {

/// The body of the object status/ZONE, as docs/DESIGN.md describes it.
std::string formatZoneStatus(const ZoneStatus& status, std::int64_t unixMilliseconds);

} // namespace cuminrelay
