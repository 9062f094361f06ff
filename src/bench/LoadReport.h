#pragma once

#include "bench/LoadExperiment.h"
#include "bench/Reports.h"

#include <cstdint>
#include <string>

namespace cuminrelay {

/// Runs the load of each service of a profile against each pair of policies: normal load with and without stragglers,
/// and a load spike that reaches ten times the arrivals within 2 s. Returns one row per run.
std::string runLoadComparison(const FleetProfile& profile, std::uint64_t seed, ReportFormat format);

} // namespace cuminrelay
