#pragma once

#include "bench/Reports.h"

#include <cstdint>
#include <string>

namespace cuminrelay {

/// Measures decisions on established packets of flows that the VM owns, in batches of 64, on one core.
///
/// flows: how many open flows, or 0 for 10^3, 10^4, 10^5 and 10^6 in turn. The report has nanoseconds a packet, packets
/// a second and bytes a flow; run it under callgrind for instructions.
std::string runPacketBench(std::size_t flows, std::uint64_t seed, ReportFormat format);

} // namespace cuminrelay
