#pragma once

#include "bench/FaultMatrix.h"

#include <span>
#include <string>

namespace cuminrelay {

enum class ReportFormat : std::uint8_t {
    Table,
    Json, ///< one object per line
};

/// Returns one row per run.
std::string reportComparison(std::string_view design, std::span<const FaultRun> runs, ReportFormat format);

/// Returns one row per run, with a column for each step of a flow's lifetime.
std::string reportMatrix(std::span<const FaultRun> runs, ReportFormat format);

/// Returns details of the first broken flows of each run, one per line; empty if none broke.
std::string reportBrokenFlows(std::span<const FaultRun> runs);

} // namespace cuminrelay
