#include "bench/ChangeMatrix.h"

#include "bench/KnownRuns.h"
#include "bench/StepTable.h"

#include <fmt/format.h>
#include <oneapi/tbb/parallel_for.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_faultCount = static_cast<std::size_t>(ChangeFault::Count);
    constexpr std::size_t c_stepCount = static_cast<std::size_t>(ChangeStep::Count);

    std::vector<ChangeFaultInjection> allInjections()
    {
        std::vector<ChangeFaultInjection> injections;
        for (std::size_t fault = 0; fault < c_faultCount; ++fault) {
            for (std::size_t step = 0; step < c_stepCount; ++step)
                injections.push_back({ static_cast<ChangeFault>(fault), static_cast<ChangeStep>(step) });
        }
        return injections;
    }

    bool isPair(const ChangeFaultInjection& first, const ChangeFaultInjection& second)
    {
        return first.m_fault != ChangeFault::None && second.m_fault != ChangeFault::None
            && isLaterStep(second.m_step, first.m_step);
    }

    void planPairs(std::vector<ChangeRun>& runs, std::span<const ChangeFaultInjection> injections,
        const ChangeMatrixSettings& settings)
    {
        std::uint64_t pairs = settings.m_seed;
        const std::uint64_t seed = runs.back().m_seed;
        for (const ChangeFaultInjection& first : injections) {
            for (const ChangeFaultInjection& second : injections) {
                if (isPair(first, second) && ++pairs % settings.m_sparsity == 0)
                    runs.push_back({ seed + pairs, { first, second }, {} });
            }
        }
    }

    std::vector<ChangeRun> planRuns(const ChangeMatrixSettings& settings)
    {
        constexpr std::uint64_t seedStride = 1'000'000;
        const std::uint64_t seed = settings.m_seed * seedStride;
        const std::vector<ChangeFaultInjection> injections = allInjections();
        std::vector<ChangeRun> runs;
        for (const ChangeFaultInjection& injection : injections) {
            for (unsigned repeat = 0; repeat < settings.m_repeats; ++repeat)
                runs.push_back({ seed + runs.size(), { injection }, {} });
        }
        if (settings.m_pairs)
            planPairs(runs, injections, settings);
        return runs;
    }

    std::string runName(const ChangeRun& run)
    {
        std::string name;
        for (const ChangeFaultInjection& injection : run.m_injections)
            name += fmt::format("{}{} at {}", name.empty() ? "" : " then ", changeFaultName(injection.m_fault),
                changeStepName(injection.m_step));
        return name;
    }

    std::string describe(const ChangeExperimentResult& result)
    {
        return fmt::format("went back {}, lost {}, doubled {}, refused but written {}, overwritten {}, disjoint "
                           "refused {}, unnamed conflicts {}, late {}, work after drain {}",
            result.m_versionDecreases, result.m_lostEdits, result.m_duplicateEdits, result.m_refusedButWritten,
            result.m_overwritten, result.m_disjointRefused, result.m_unnamedConflicts, result.m_late,
            result.m_workAfterDrain);
    }

    StepCell countRuns(std::span<const ChangeRun> runs, ChangeFault fault, ChangeStep step)
    {
        StepCell cell;
        for (const ChangeRun& run : runs) {
            const ChangeFaultInjection& first = run.m_injections.front();
            if (first.m_fault != fault || first.m_step != step || !run.injectedAll())
                continue;
            ++cell.m_runs;
            cell.m_violating += run.hasViolations() ? 1 : 0;
        }
        return cell;
    }

    std::string reportTable(std::span<const ChangeRun> runs)
    {
        std::vector<std::string_view> faults;
        for (std::size_t fault = 0; fault < c_faultCount; ++fault)
            faults.push_back(changeFaultName(static_cast<ChangeFault>(fault)));
        std::vector<std::string_view> steps;
        for (std::size_t step = 0; step < c_stepCount; ++step)
            steps.push_back(changeStepName(static_cast<ChangeStep>(step)));
        return formatStepTable(faults, steps, [runs](std::size_t fault, std::size_t step) {
            return countRuns(runs, static_cast<ChangeFault>(fault), static_cast<ChangeStep>(step));
        });
    }

    std::string reportJson(std::span<const ChangeRun> runs)
    {
        std::string text;
        for (const ChangeRun& run : runs) {
            const ChangeExperimentResult& result = run.m_result;
            text += fmt::format(R"({{"run":"{}","seed":{},"struck":{},"edits":{},"accepted":{},"conflicts":{},)"
                                R"("unknown":{},"unavailable":{},"lost_by_store":{},"violations":{}}})"
                                "\n",
                runName(run), run.m_seed, result.m_injected, result.m_edits, result.m_accepted, result.m_conflicts,
                result.m_unknown, result.m_unavailable, result.m_lostByStore, result.violations());
        }
        return text;
    }

} // namespace

std::vector<ChangeRun> runChangeMatrix(const ChangeMatrixSettings& settings)
{
    std::vector<ChangeRun> runs = planRuns(settings);
    tbb::parallel_for(std::size_t { 0 }, runs.size(), [&](std::size_t i) {
        ChangeExperimentSettings experiment;
        experiment.m_seed = runs[i].m_seed;
        experiment.m_injections = runs[i].m_injections;
        experiment.m_design = settings.m_design;
        runs[i].m_result = ChangeExperiment { experiment }.run();
    });
    return runs;
}

void markKnown(std::span<ChangeRun> runs, std::uint64_t seed, std::string_view list)
{
    const std::set<std::string, std::less<>> listedRuns
        = findKnownRuns(list, fmt::format("faults --of changes --seed {}", seed));
    for (ChangeRun& run : runs)
        run.m_isKnown = listedRuns.contains(runName(run));
}

std::string reportChangeMatrix(std::span<const ChangeRun> runs, ReportFormat format)
{
    if (format == ReportFormat::Json)
        return reportJson(runs);
    std::string text = reportTable(runs);
    for (const ChangeRun& run : runs) {
        if (run.hasViolations())
            text += fmt::format("{}, seed {}{}: {}\n", runName(run), run.m_seed, run.m_isKnown ? ", known" : "",
                describe(run.m_result));
        else if (!run.injectedAll())
            text += fmt::format("{}, seed {}: not played, nothing reached the step\n", runName(run), run.m_seed);
    }
    return text;
}

} // namespace cuminrelay
