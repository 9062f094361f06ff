#pragma once

#include "base/Endpoint.h"
#include "status/VmStatus.h"

#include <chrono>
#include <span>
#include <vector>

namespace cuminrelay {

/// Reads the metrics pages of entry VMs concurrently, with one task for each. Returns statuses in the order of the
/// endpoints; a VM that does not answer by the deadline has m_problem set. Blocks.
std::vector<VmStatus> fetchStatuses(std::span<const Endpoint> metrics, std::chrono::steady_clock::time_point deadline);

/// Repeats fetchStatuses until the version is in force on all VMs or the deadline has passed. Returns the last result.
std::vector<VmStatus> awaitVersion(
    std::span<const Endpoint> metrics, ConfigVersion version, std::chrono::steady_clock::time_point deadline);

} // namespace cuminrelay
