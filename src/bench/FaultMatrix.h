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
    bool m_isKnown = false; ///< listed as a fault that is not mended yet
};

struct FaultMatrixSettings {
    FleetProfile m_profile;
    std::string m_design;
    FabricKind m_fabric = FabricKind::EachPacketAnywhere;
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

/// The name of a run: its faults and the gap between them.
std::string runName(const FaultRun& run);

/// Marks the runs that a list names. Each of its lines that counts begins with "faults" and holds "--profile P --seed
/// S" and the name of a run; S is the seed of the settings.
void markKnown(std::span<FaultRun> runs, const FaultMatrixSettings& settings, std::string_view list);

/// Which promise a run broke, or an empty text. Planned changes: no broken flow at all. Any fault: no misrouted
/// packet, no established flow broken, and at most one in a thousand younger flows.
std::string findViolation(const FaultRun& run);

} // namespace cuminrelay
