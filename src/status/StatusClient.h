#pragma once

#include "base/Endpoint.h"
#include "status/VmStatus.h"

#include <chrono>
#include <span>
#include <vector>

namespace cuminrelay {

/// Asks entry VMs for what they believe, all at once, one task for each. A VM that does not answer by the deadline of
/// the system's steady clock has a problem in its status. In the order of the endpoints. Blocks.
std::vector<VmStatus> fetchStatuses(std::span<const Endpoint> metrics, std::chrono::steady_clock::time_point deadline);

/// As fetchStatuses, again and again until the version is in force everywhere or the deadline has passed; the last
/// answers.
std::vector<VmStatus> awaitVersion(
    std::span<const Endpoint> metrics, ConfigVersion version, std::chrono::steady_clock::time_point deadline);

} // namespace cuminrelay
