#pragma once

#include "bench/LoadExperiment.h"
#include "bench/Reports.h"

#include <cstdint>
#include <string>

namespace cuminrelay {

/// Plays the load of each service of a profile against each pair of policies: in ordinary times with and without
/// stragglers, and through a crest of ten times the arrivals within 2 s. One row for each run.
std::string runLoadComparison(const FleetProfile& profile, std::uint64_t seed, ReportFormat format);

} // namespace cuminrelay
