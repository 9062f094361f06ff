#pragma once

#include "bench/ReplayExperiment.h"
#include "bench/Reports.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrelay {

/// What makes a design that is replayed: "carried", the product's; "carried-random", the same with random placement;
/// "naive-affinity".
FlowExperiment::DesignFactory replayDesign(std::string_view name, const FleetProfile& profile);

/// Plays each pattern against the product's design, the same with random placement, and the naive forwarder; one row
/// for each.
std::string runReplays(const FleetProfile& profile, std::uint64_t seed, ReportFormat format);

} // namespace cuminrelay
