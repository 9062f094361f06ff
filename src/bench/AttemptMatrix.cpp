#include "bench/AttemptMatrix.h"

#include "bench/StepTable.h"

#include <fmt/format.h>
#include <oneapi/tbb/parallel_for.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_faultCount = static_cast<std::size_t>(AttemptFault::Count);
    constexpr std::size_t c_stepCount = static_cast<std::size_t>(AttemptStep::Count);

    std::unique_ptr<AttemptDecider> makeDecider(AttemptDesign design)
    {
        if (design == AttemptDesign::RetryOnTimeout)
            return std::make_unique<RetryOnTimeoutDecider>();
        AttemptLedger::Parameters parameters;
        parameters.m_retriesUnknownIdempotent = true;
        return std::make_unique<LedgerDecider>(parameters);
    }

    void planPairs(std::vector<AttemptRun>& runs, const AttemptFaultInjection& first, std::uint64_t seed)
    {
        const std::size_t firstStep = static_cast<std::size_t>(first.m_step);
        for (std::size_t step = firstStep + 1; step < c_stepCount; ++step) {
            for (std::size_t fault = 1; fault < c_faultCount; ++fault) {
                const AttemptFaultInjection second { static_cast<AttemptFault>(fault), static_cast<AttemptStep>(step) };
                runs.push_back({ seed + runs.size(), { first, second }, {} });
            }
        }
    }

    std::vector<AttemptRun> planRuns(const AttemptMatrixSettings& settings)
    {
        constexpr std::uint64_t seedStride = 1'000'000;
        const std::uint64_t seed = settings.m_seed * seedStride;
        std::vector<AttemptRun> runs;
        for (std::size_t fault = 0; fault < c_faultCount; ++fault) {
            for (std::size_t step = 0; step < c_stepCount; ++step) {
                const AttemptFaultInjection first { static_cast<AttemptFault>(fault), static_cast<AttemptStep>(step) };
                for (unsigned repeat = 0; repeat < settings.m_repeats; ++repeat)
                    runs.push_back({ seed + runs.size(), { first }, {} });
                if (settings.m_pairs && first.m_fault != AttemptFault::None)
                    planPairs(runs, first, seed);
            }
        }
        return runs;
    }

    std::string runName(const AttemptRun& run)
    {
        std::string name;
        for (const AttemptFaultInjection& injection : run.m_injections)
            name += fmt::format("{}{} at {}", name.empty() ? "" : " then ", attemptFaultName(injection.m_fault),
                attemptStepName(injection.m_step));
        return name;
    }

    std::string describe(const AttemptExperimentResult& result)
    {
        return fmt::format("ran twice {}, refused but ran {}, wrong answers {}, started late {}, work after drain {}, "
                           "retries over budget {}, never told {}",
            result.m_ranTwice, result.m_reportedNotRunButRan, result.m_wrongAnswers, result.m_startedLate,
            result.m_workAfterDrain, result.m_processesOverRetryBudget, result.m_unreported);
    }

    StepCell countRuns(std::span<const AttemptRun> runs, AttemptFault fault, AttemptStep step)
    {
        StepCell cell;
        for (const AttemptRun& run : runs) {
            const AttemptFaultInjection& first = run.m_injections.front();
            if (first.m_fault != fault || first.m_step != step || !run.injectedAll())
                continue;
            ++cell.m_runs;
            cell.m_violating += run.m_result.violations() > 0 ? 1 : 0;
        }
        return cell;
    }

    std::string reportTable(std::span<const AttemptRun> runs)
    {
        std::vector<std::string_view> faults;
        for (std::size_t fault = 0; fault < c_faultCount; ++fault)
            faults.push_back(attemptFaultName(static_cast<AttemptFault>(fault)));
        std::vector<std::string_view> steps;
        for (std::size_t step = 0; step < c_stepCount; ++step)
            steps.push_back(attemptStepName(static_cast<AttemptStep>(step)));
        return formatStepTable(faults, steps, [runs](std::size_t fault, std::size_t step) {
            return countRuns(runs, static_cast<AttemptFault>(fault), static_cast<AttemptStep>(step));
        });
    }

    std::string reportJson(std::span<const AttemptRun> runs)
    {
        std::string text;
        for (const AttemptRun& run : runs) {
            const AttemptExperimentResult& result = run.m_result;
            text
                += fmt::format("{{\"run\":\"{}\",\"seed\":{},\"struck\":{},\"requests\":{},\"answered\":{},\"not_run\":"
                               "{},\"unknown\":{},\"violations\":{}}}\n",
                    runName(run), run.m_seed, result.m_injected, result.m_requests, result.m_answered,
                    result.m_reportedNotRun, result.m_reportedUnknown, result.violations());
        }
        return text;
    }

} // namespace

std::vector<AttemptRun> runAttemptMatrix(const AttemptMatrixSettings& settings)
{
    std::vector<AttemptRun> runs = planRuns(settings);
    tbb::parallel_for(std::size_t { 0 }, runs.size(), [&](std::size_t i) {
        AttemptExperimentSettings experiment;
        experiment.m_seed = runs[i].m_seed;
        experiment.m_injections = runs[i].m_injections;
        experiment.m_makeDecider = [design = settings.m_design] { return makeDecider(design); };
        runs[i].m_result = AttemptExperiment { experiment }.run();
    });
    return runs;
}

std::string reportAttemptMatrix(std::span<const AttemptRun> runs, ReportFormat format)
{
    if (format == ReportFormat::Json)
        return reportJson(runs);
    std::string text = reportTable(runs);
    for (const AttemptRun& run : runs) {
        if (run.m_result.violations() > 0)
            text += fmt::format("{}, seed {}: {}\n", runName(run), run.m_seed, describe(run.m_result));
        else if (!run.injectedAll())
            text += fmt::format("{}, seed {}: not played, no attempt reached the step\n", runName(run), run.m_seed);
    }
    return text;
}

} // namespace cuminrelay
