#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Runs whose faults were all injected, and the number of them that violated an invariant.
struct StepCell {
    std::size_t m_runs = 0;
    std::size_t m_violating = 0;
};

/// A table of first faults by row and their steps by column. Each cell: violating runs, then all runs.
std::string formatStepTable(std::span<const std::string_view> faults, std::span<const std::string_view> steps,
    const std::function<StepCell(std::size_t fault, std::size_t step)>& cell);

} // namespace cuminrelay
