#pragma once

#include "base/Time.h"
#include "bench/Reports.h"

#include <cstdint>
#include <string>

namespace cuminrelay {

/// Simulates heartbeats between the control processes of complete fleets on a virtual clock, with the decisions and
/// messages of production. Reports bytes, times of detection and dissemination, and false alarms for 8 entry VMs in 3
/// zones, 24 and 88 in one zone and 700 in 8; 88 also in a full mesh. onlyVms: size of the fleets to run; 0: all.
std::string runMembersExperiment(std::size_t onlyVms, std::uint64_t seed, ReportFormat format);

} // namespace cuminrelay
