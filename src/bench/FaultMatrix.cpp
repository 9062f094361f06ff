#include "bench/FaultMatrix.h"

#include "bench/DesignCatalog.h"
#include "bench/KnownRuns.h"

#include <fmt/format.h>
#include <oneapi/tbb/parallel_for.h>

namespace cuminrelay {

namespace {

    constexpr Duration c_firstFaultAt = std::chrono::seconds { 8 };
    constexpr Duration c_lengthAfterFaults = std::chrono::seconds { 45 };
    constexpr std::uint64_t c_maxGapMicroseconds = 6'000'000;

    /// Flows younger than 2 s at an unplanned fault that may break, as a share of the open flows.
    constexpr double c_maxBrokenShare = 0.001;

    std::vector<FaultRun> planRuns(const FaultMatrixSettings& settings)
    {
        constexpr std::size_t kinds = static_cast<std::size_t>(FaultKind::Count);
        std::vector<FaultRun> runs;
        for (std::size_t first = 0; first < kinds; ++first) {
            for (unsigned repeat = 0; repeat < settings.m_repeats; ++repeat) {
                FaultRun run;
                run.m_first = static_cast<FaultKind>(first);
                run.m_seed = settings.m_seed + repeat;
                runs.push_back(run);
            }
        }
        for (std::size_t first = 1; settings.m_pairs && first < kinds; ++first) {
            for (std::size_t second = 1; second < kinds; ++second) {
                FaultRun run;
                run.m_first = static_cast<FaultKind>(first);
                run.m_second = static_cast<FaultKind>(second);
                run.m_seed = settings.m_seed * kinds * kinds + first * kinds + second;
                run.m_gap = Duration { static_cast<std::int64_t>(Random { run.m_seed }.below(c_maxGapMicroseconds)) };
                runs.push_back(run);
            }
        }
        return runs;
    }

    std::uint64_t countOpenFlows(const FlowExperimentResult& result)
    {
        std::uint64_t open = 0;
        for (const FlowStep step : { FlowStep::Opening, FlowStep::FirstData, FlowStep::Established, FlowStep::Later })
            open += result.m_steps[static_cast<std::size_t>(step)].m_flows;
        return open;
    }

} // namespace

std::string runName(const FaultRun& run)
{
    if (run.m_second == FaultKind::None)
        return std::string { faultName(run.m_first) };
    return fmt::format("{} then {} after {:.1f} s", faultName(run.m_first), faultName(run.m_second),
        static_cast<double>(run.m_gap.count()) / 1e6);
}

void markKnown(std::span<FaultRun> runs, const FaultMatrixSettings& settings, std::string_view list)
{
    const std::set<std::string, std::less<>> knownFailures
        = findKnownRuns(list, fmt::format("faults --profile {} --seed {}", settings.m_profile.m_name, settings.m_seed));
    for (FaultRun& run : runs)
        run.m_isKnown = knownFailures.contains(runName(run));
}

std::string findViolation(const FaultRun& run)
{
    const FlowExperimentResult& result = run.m_result;
    if (result.m_misrouted > 0)
        return fmt::format("misrouted: {}", result.m_misrouted);
    if (isPlanned(run.m_first) && isPlanned(run.m_second) && result.broken() > 0)
        return fmt::format("broken by planned changes: {}", result.broken());
    if (result.m_brokenEstablished > 0)
        return fmt::format("established flows broken: {}", result.m_brokenEstablished);
    const double allowed = c_maxBrokenShare * static_cast<double>(countOpenFlows(result));
    if (static_cast<double>(result.broken()) > allowed)
        return fmt::format("younger flows broken: {} of {}", result.broken(), countOpenFlows(result));
    return {};
}

std::vector<FaultRun> runFaultMatrix(const FaultMatrixSettings& settings)
{
    std::vector<FaultRun> runs = planRuns(settings);
    std::erase_if(runs, [&](const FaultRun& run) {
        return (!settings.m_firstFaultFilter.empty() && settings.m_firstFaultFilter != faultName(run.m_first))
            || (!settings.m_secondFaultFilter.empty() && settings.m_secondFaultFilter != faultName(run.m_second));
    });
    tbb::parallel_for(std::size_t { 0 }, runs.size(), [&](std::size_t i) {
        FaultRun& run = runs[i];
        FlowExperimentSettings experiment;
        experiment.m_profile = settings.m_profile;
        experiment.m_fabric = settings.m_fabric;
        experiment.m_seed = run.m_seed;
        experiment.m_arrivalsPerSecond = settings.m_arrivalsPerSecond;
        experiment.m_length = c_firstFaultAt + run.m_gap + c_lengthAfterFaults;
        experiment.m_faults = { { Instant { c_firstFaultAt }, run.m_first } };
        if (run.m_second != FaultKind::None)
            experiment.m_faults.push_back({ Instant { c_firstFaultAt + run.m_gap }, run.m_second });
        FlowExperiment flowExperiment { experiment, [&](std::span<const Endpoint> vms, FleetNetwork& network) {
                                           return makeDesign(settings.m_design, settings.m_profile, vms, network);
                                       } };
        run.m_result = flowExperiment.run();
        run.m_violation = findViolation(run);
    });
    return runs;
}

} // namespace cuminrelay
