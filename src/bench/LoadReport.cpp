#include "bench/LoadReport.h"

#include "admission/ShareAdmission.h"
#include "admission/UnlimitedAdmission.h"
#include "placement/BoundedLoadPlacement.h"
#include "placement/DefaultOnlyPlacement.h"
#include "placement/LeastConnectionsPlacement.h"

#include <array>
#include <fmt/format.h>
#include <oneapi/tbb/parallel_for.h>

namespace cuminrelay {

namespace {

    constexpr Instant c_spikeStart { std::chrono::seconds { 22 } };
    constexpr Instant c_spikePeak { std::chrono::seconds { 24 } };
    constexpr Instant c_spikeEnd { std::chrono::seconds { 44 } };
    constexpr double c_spikeFactor = 10;

    enum class Scenario : std::uint8_t {
        Ordinary,
        WithoutStragglers,
        LoadSpike,
        Count,
    };

    std::string_view scenarioName(Scenario scenario)
    {
        static constexpr std::array<std::string_view, static_cast<std::size_t>(Scenario::Count)> s_names { "ordinary",
            "without-stragglers", "crest" };
        return s_names[static_cast<std::size_t>(scenario)];
    }

    struct NamedPolicies {
        std::string_view m_name;
        PolicyFactory m_policies;
    };

    std::vector<NamedPolicies> comparedPolicies()
    {
        const auto unlimited = [] { return std::make_unique<UnlimitedAdmission>(); };
        return {
            { "bounded-load",
                { [] { return std::make_unique<BoundedLoadPlacement>(); },
                    [] { return std::make_unique<ShareAdmission>(); } } },
            { "least-connections", { [] { return std::make_unique<LeastConnectionsPlacement>(); }, unlimited } },
            { "default-only", { [] { return std::make_unique<DefaultOnlyPlacement>(); }, unlimited } },
        };
    }

    struct LoadRun {
        std::string m_service;
        Scenario m_scenario = Scenario::Ordinary;
        NamedPolicies m_policies;
        LoadExperimentSettings m_settings;
        LoadResult m_result;
    };

    std::vector<LoadRun> planRuns(const FleetProfile& profile, std::uint64_t seed)
    {
        std::vector<LoadRun> runs;
        for (const ServiceLoad& load : findServiceLoads(profile.m_name)) {
            for (std::size_t scenario = 0; scenario < static_cast<std::size_t>(Scenario::Count); ++scenario) {
                for (const NamedPolicies& policies : comparedPolicies()) {
                    LoadRun run;
                    run.m_service = load.m_service;
                    run.m_scenario = static_cast<Scenario>(scenario);
                    run.m_policies = policies;
                    run.m_settings.m_profile = profile;
                    run.m_settings.m_load = load;
                    run.m_settings.m_seed = seed;
                    run.m_settings.m_hasStragglers = run.m_scenario != Scenario::WithoutStragglers;
                    if (run.m_scenario == Scenario::LoadSpike)
                        run.m_settings.m_loadSpike = { c_spikeFactor, c_spikeStart, c_spikePeak, c_spikeEnd };
                    runs.push_back(std::move(run));
                }
            }
        }
        return runs;
    }

    std::string row(const LoadRun& run, ReportFormat format)
    {
        const LoadResult& result = run.m_result;
        if (format == ReportFormat::Json)
            return fmt::format("{{\"service\":\"{}\",\"scenario\":\"{}\",\"policies\":\"{}\",\"seed\":{},"
                               "\"worst_imbalance\":{:.4f},\"mean_imbalance\":{:.4f},\"variation\":{:.4f},"
                               "\"wait_p50_s\":{:.4f},\"wait_p99_s\":{:.4f},\"short_p99_s\":{:.4f},"
                               "\"in_deadline\":{:.4f},\"offered\":{},\"refused\":{},\"forced\":{},"
                               "\"excess_refusals\":{:.4f},\"refusal_spread\":{:.3f},\"exceptions\":{:.4f}}}\n",
                run.m_service, scenarioName(run.m_scenario), run.m_policies.m_name, run.m_settings.m_seed,
                result.m_worstImbalance, result.m_meanImbalance, result.m_connectionVariation, result.m_waitMedian,
                result.m_waitP99, result.m_shortP99, result.m_inDeadlineShare, result.m_offered, result.refusals(),
                result.m_forcedRefusals, result.excessRefusals(), result.m_refusalSpread, result.m_overrideShare);
        return fmt::format(
            "{:<11} {:<18} {:<17} {:>6.3f} {:>6.3f} {:>8.3f} {:>8.3f} {:>9.3f} {:>8.4f} {:>8} {:>7} {:>7} {:>7.1f} "
            "{:>6.1f}\n",
            run.m_service, scenarioName(run.m_scenario), run.m_policies.m_name, result.m_worstImbalance,
            result.m_connectionVariation, result.m_waitMedian, result.m_waitP99, result.m_shortP99,
            result.m_inDeadlineShare, result.m_offered, result.refusals(), result.m_forcedRefusals,
            100 * result.excessRefusals(), 100 * result.m_overrideShare);
    }

} // namespace

std::string runLoadComparison(const FleetProfile& profile, std::uint64_t seed, ReportFormat format)
{
    std::vector<LoadRun> runs = planRuns(profile, seed);
    tbb::parallel_for(std::size_t { 0 }, runs.size(), [&](std::size_t i) {
        runs[i].m_result = LoadExperiment { runs[i].m_settings, runs[i].m_policies.m_policies }.run();
    });
    std::string text;
    if (format == ReportFormat::Table)
        text += fmt::format("{:<11} {:<18} {:<17} {:>6} {:>6} {:>8} {:>8} {:>9} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6}\n",
            "service", "scenario", "policies", "imbal", "cv", "wait p50", "wait p99", "short p99", "in time", "offered",
            "refused", "forced", "excess%", "exc%");
    for (const LoadRun& run : runs)
        text += row(run, format);
    return text;
}

} // namespace cuminrelay
