#pragma once

#include "bench/Reports.h"

#include <cstdint>
#include <string>

namespace cuminrelay {

/// Measures FlowRouter::decide on established packets of owned flows, in batches of 64, on one core.
///
/// flows: number of open flows; 0 for 10^3, 10^4, 10^5 and 10^6 in turn. The report has nanoseconds per packet, packets
/// per second and bytes per flow. Instruction counts need callgrind.
std::string runPacketBench(std::size_t flows, std::uint64_t seed, ReportFormat format);

} // namespace cuminrelay
