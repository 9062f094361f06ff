#pragma once

#include "bench/AttemptExperiment.h"
#include "bench/Reports.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// Who decides on the requests of a matrix of attempts.
enum class AttemptDesign : std::uint8_t {
    Ledger, ///< the product
    RetryOnTimeout,
};

/// One run: a fault at a step of an attempt, alone or with a second one at a later step.
struct AttemptRun {
    std::uint64_t m_seed = 0;
    std::vector<AttemptStrike> m_strikes;
    AttemptExperimentResult m_result;

    bool struckAll() const { return m_result.m_struck == m_strikes.size(); }
};

struct AttemptMatrixSettings {
    std::uint64_t m_seed = 1;
    unsigned m_repeats = 1; ///< seeds of each fault alone
    bool m_pairs = true; ///< also with each second fault at each later step
    AttemptDesign m_design = AttemptDesign::Ledger;
};

/// Plays every fault at every step, over all cores. The runs come in a fixed order and, for a seed, with the same
/// figures every time.
std::vector<AttemptRun> runAttemptMatrix(const AttemptMatrixSettings& settings);

/// First faults by row, their steps by column: broken promises and runs. Then each run that broke a promise.
std::string reportAttemptMatrix(std::span<const AttemptRun> runs, ReportFormat format);

} // namespace cuminrelay
