#pragma once

#include "bench/ReplayExperiment.h"
#include "bench/Reports.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Returns the factory of a design by name: "carried", the product's design; "carried-random", the same with random
/// placement; "naive-affinity".
FlowExperiment::DesignFactory replayDesign(std::string_view name, const FleetProfile& profile);

/// Runs each load pattern against the designs of replayDesign. Returns one row per run.
std::string runReplays(const FleetProfile& profile, std::uint64_t seed, ReportFormat format);

} // namespace cuminrelay
