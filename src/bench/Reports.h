#pragma once

#include "bench/FaultMatrix.h"

#include <span>
#include <string>

namespace cuminrelay {

enum class ReportFormat : std::uint8_t {
    Table,
    Json, ///< one object a line
};

/// One row for each design and fault.
std::string reportComparison(std::string_view design, std::span<const FaultRun> runs, ReportFormat format);

/// One row for each run, with a column for each step of a flow's life.
std::string reportMatrix(std::span<const FaultRun> runs, ReportFormat format);

/// How the first broken flows of each run broke, one a line; empty when none did.
std::string reportBrokenFlows(std::span<const FaultRun> runs);

} // namespace cuminrelay
