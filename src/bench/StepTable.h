#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Runs that struck and, of these, the ones that broke a promise.
struct StepCell {
    std::size_t m_runs = 0;
    std::size_t m_broken = 0;
};

/// A table of first faults by row and their steps by column; each cell says how many runs broke a promise, of how many.
std::string formatStepTable(std::span<const std::string_view> faults, std::span<const std::string_view> steps,
    const std::function<StepCell(std::size_t fault, std::size_t step)>& cell);

} // namespace cuminrelay
