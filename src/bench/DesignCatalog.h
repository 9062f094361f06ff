#pragma once

#include "bench/FlowExperiment.h"

#include <memory>
#include <span>
#include <string_view>

namespace cuminrelay {

/// Returns the names of the compared designs. The first two are the product's.
std::span<const std::string_view> designNames();

/// Creates a design by name for a profile's fleet. name: one of designNames().
std::unique_ptr<FleetDesign> makeDesign(
    std::string_view name, const FleetProfile& profile, std::span<const Endpoint> vms, FleetNetwork& network);

} // namespace cuminrelay
