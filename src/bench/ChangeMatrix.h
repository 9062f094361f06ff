#pragma once

#include "bench/ChangeExperiment.h"
#include "bench/Reports.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// One run: a fault at a step of a change, a join or a drain, alone or followed by another at a later step.
struct ChangeRun {
    std::uint64_t m_seed = 0;
    std::vector<ChangeFaultInjection> m_injections;
    ChangeExperimentResult m_result;
    bool m_isKnown = false; ///< listed as a known failure

    bool hasViolations() const { return m_result.violations() > 0; }
    bool injectedAll() const { return m_result.m_injected == m_injections.size(); }
};

struct ChangeMatrixSettings {
    std::uint64_t m_seed = 1;
    unsigned m_repeats = 1; ///< seeds per single fault
    bool m_pairs = true; ///< also runs a second fault at each later step
    unsigned m_sparsity = 1; ///< runs only every n-th pair
    std::shared_ptr<const ChangeDesign> m_design;
};

/// Runs every fault at every step, on all cores. The order and the results of the runs depend only on the settings.
std::vector<ChangeRun> runChangeMatrix(const ChangeMatrixSettings& settings);

/// Marks the runs that a list of known failures contains for the command "faults --of changes --seed S".
void markKnown(std::span<ChangeRun> runs, std::uint64_t seed, std::string_view list);

/// Violating and all runs by first fault and its step, then runs with violations or faults that were not injected.
std::string reportChangeMatrix(std::span<const ChangeRun> runs, ReportFormat format);

} // namespace cuminrelay
