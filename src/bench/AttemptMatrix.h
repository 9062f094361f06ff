#pragma once

#include "bench/AttemptExperiment.h"
#include "bench/Reports.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

enum class AttemptDesign : std::uint8_t {
    Ledger, ///< the production design
    RetryOnTimeout,
};

/// One run: a fault at a step of an attempt, alone or followed by another at a later step.
struct AttemptRun {
    std::uint64_t m_seed = 0;
    std::vector<AttemptFaultInjection> m_injections;
    AttemptExperimentResult m_result;

    bool injectedAll() const { return m_result.m_injected == m_injections.size(); }
};

struct AttemptMatrixSettings {
    std::uint64_t m_seed = 1;
    unsigned m_repeats = 1; ///< seeds per single fault
    bool m_pairs = true; ///< also runs each second fault at each later step
    AttemptDesign m_design = AttemptDesign::Ledger;
};

/// Runs every fault at every step, on all cores. The order and the results of the runs depend only on the settings.
std::vector<AttemptRun> runAttemptMatrix(const AttemptMatrixSettings& settings);

/// Violating and all runs by first fault and its step, then runs with violations or faults that were not injected.
std::string reportAttemptMatrix(std::span<const AttemptRun> runs, ReportFormat format);

} // namespace cuminrelay
