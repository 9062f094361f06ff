#pragma once

#include "base/Time.h"
#include "bench/Reports.h"

#include <cstdint>
#include <string>

namespace cuminrelay {

/// Plays heartbeats between the control processes of whole fleets on a virtual clock, with the real decisions and the
/// real messages, and reports bytes, times to detection and spreading, and false alarms: for 8 entry VMs in 3 zones,
/// 24 and 88 in one and 700 in 8; 88 also with everybody beating to everybody. onlyVms: only fleets of this many, or 0.
std::string runMembersExperiment(std::size_t onlyVms, std::uint64_t seed, ReportFormat format);

} // namespace cuminrelay
