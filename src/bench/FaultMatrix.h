#pragma once

#include "bench/FlowExperiment.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// One run of the fault matrix, with one fault or two successive ones.
struct FaultRun {
    FaultKind m_first = FaultKind::None;
    FaultKind m_second = FaultKind::None;
    Duration m_gap {}; ///< time from the first to the second fault
    std::uint64_t m_seed = 0;
    FlowExperimentResult m_result;
    std::string m_violation; ///< violated invariant with its counts; empty if none
    bool m_isKnown = false; ///< listed as a known failure
};

struct FaultMatrixSettings {
    FleetProfile m_profile;
    std::string m_design;
    FabricKind m_fabric = FabricKind::EachPacketAnywhere;
    std::uint64_t m_seed = 1;
    unsigned m_repeats = 1; ///< number of seeds for each single fault
    bool m_pairs = true; ///< also run each ordered pair of faults, with a gap drawn from the seed
    double m_arrivalsPerSecond = 300;
    std::string m_firstFaultFilter; ///< run only pairs and single faults with this first fault; empty: all
    std::string m_secondFaultFilter;
};

/// Runs the selected single faults and ordered pairs, in parallel on all cores. The order of the runs is fixed;
/// the same seed gives the same results.
std::vector<FaultRun> runFaultMatrix(const FaultMatrixSettings& settings);

/// Returns the name of a run: its faults and the gap between them.
std::string runName(const FaultRun& run);

/// Marks the known failures among the runs. A relevant line of the list begins with "faults" and contains "--profile P
/// --seed S", with the seed of the settings, and the name of a run.
void markKnown(std::span<FaultRun> runs, const FaultMatrixSettings& settings, std::string_view list);

/// Returns the invariant that a run violated, or an empty text. After planned changes, no flow breaks. After any fault,
/// no packet is misrouted, no established flow breaks, and at most one younger flow per thousand open flows.
std::string findViolation(const FaultRun& run);

} // namespace cuminrelay
