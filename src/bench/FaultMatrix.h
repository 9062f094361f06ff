#pragma once

#include "bench/FlowExperiment.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// One run of the fault matrix: a fault, alone or with a second one later.
struct FaultRun {
    FaultKind m_first = FaultKind::None;
    FaultKind m_second = FaultKind::None;
    Duration m_gap {}; ///< from the first to the second
    std::uint64_t m_seed = 0;
    FlowExperimentResult m_result;
    std::string m_violation; ///< the promise that broke, with figures; empty when all held
};

struct FaultMatrixSettings {
    FleetProfile m_profile;
    std::string m_design;
    std::uint64_t m_seed = 1;
    unsigned m_repeats = 1; ///< seeds of each single fault
    bool m_pairs = true; ///< also each ordered pair of faults, the gap drawn by the seed
    double m_arrivalsPerSecond = 300;
    std::string m_onlyFirst; ///< the name of the first fault of the runs to play; empty: all
    std::string m_onlySecond;
};

/// Runs every fault alone and every ordered pair, over all cores. The runs come in a fixed order and, for a seed, with
/// the same figures every time.
std::vector<FaultRun> runFaultMatrix(const FaultMatrixSettings& settings);

/// Which promise a run broke, or an empty text. Planned changes: no broken flow at all. Any fault: no misrouted
/// packet, no established flow broken, and at most one in a thousand younger flows.
std::string findViolation(const FaultRun& run);

} // namespace cuminrelay
