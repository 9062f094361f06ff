#pragma once

#include "bench/ChangeExperiment.h"
#include "bench/Reports.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// One run: a fault at a step of a change, a join or a drain, alone or with a second one at a later step.
struct ChangeRun {
    std::uint64_t m_seed = 0;
    std::vector<ChangeStrike> m_strikes;
    ChangeExperimentResult m_result;
    bool m_isKnown = false; ///< listed as a fault that is not mended yet

    bool brokePromise() const { return m_result.violations() > 0; }
    bool struckAll() const { return m_result.m_struck == m_strikes.size(); }
};

struct ChangeMatrixSettings {
    std::uint64_t m_seed = 1;
    unsigned m_repeats = 1; ///< seeds of each fault alone
    bool m_pairs = true; ///< also with a second fault at each later step
    unsigned m_sparsity = 1; ///< plays every n-th pair only
    std::shared_ptr<const ChangeDesign> m_design;
};

/// Plays every fault at every step, over all cores. The runs come in a fixed order and, for a seed, with the same
/// figures every time.
std::vector<ChangeRun> runChangeMatrix(const ChangeMatrixSettings& settings);

/// Marks the runs that a list names; its lines that count begin with "faults --of changes --seed S ".
void markKnown(std::span<ChangeRun> runs, std::uint64_t seed, std::string_view list);

/// First faults by row, their steps by column: broken promises and runs. Then each run that broke a promise.
std::string reportChangeMatrix(std::span<const ChangeRun> runs, ReportFormat format);

} // namespace cuminrelay
