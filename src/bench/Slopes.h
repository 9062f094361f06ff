#pragma once

#include "bench/Reports.h"

#include <string>

namespace cuminrelay {

/// Measures how the cost of control grows with the fleet: bytes of each message with the production encoders, memory of
/// tables and time to build them. Each is measured at several sizes and fitted by a least-squares line.
/// docs/CAPACITY.md is derived from these lines.
std::string runSlopes(ReportFormat format);

} // namespace cuminrelay
