#pragma once

#include "bench/Reports.h"

#include <string>

namespace cuminrelay {

/// Measures how what control costs grows with the fleet: bytes of each message with the real encoders, memory and
/// processor time of each table, each at several sizes with a least-squares line through the points. docs/CAPACITY.md
/// is worked out from these lines.
std::string runSlopes(ReportFormat format);

} // namespace cuminrelay
