#pragma once

#include "control/FleetListener.h"

#include <cstdint>
#include <string>

namespace cuminrelay {

/// Body of the object status/ZONE; its format is in docs/DESIGN.md.
std::string formatZoneStatus(const ZoneStatus& status, std::int64_t unixMilliseconds);

} // namespace cuminrelay
