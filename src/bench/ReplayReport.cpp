#include "bench/ReplayReport.h"

#include "base/Assert.h"
#include "bench/NaiveAffinityDesign.h"
#include "bench/TokenDesign.h"

#include <fmt/format.h>
#include <oneapi/tbb/parallel_for.h>

namespace cuminrelay {

namespace {

    class RandomPlacement final : public FlowPlacement {
    public:
        std::size_t choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const override
        {
            return demand.m_draw % candidates.size();
        }
    };

    struct ReplayRun {
        std::string_view m_design;
        ReplaySettings m_settings;
        FlowExperiment::DesignFactory m_makeDesign;
        ReplayResult m_result;
    };

    std::vector<ReplayRun> planReplays(const FleetProfile& profile, std::uint64_t seed)
    {
        std::vector<ReplayRun> runs;
        for (std::size_t i = 0; i < static_cast<std::size_t>(LoadPattern::Count); ++i) {
            for (const std::string_view design : { "carried", "carried-random", "naive-affinity" }) {
                ReplayRun& run = runs.emplace_back();
                run.m_design = design;
                run.m_settings.m_profile = profile;
                run.m_settings.m_pattern = static_cast<LoadPattern>(i);
                run.m_settings.m_seed = seed;
                run.m_makeDesign = replayDesign(design, profile);
            }
        }
        return runs;
    }

    std::string row(const ReplayRun& run, ReportFormat format)
    {
        const ReplayResult& result = run.m_result;
        const std::string_view pattern = loadPatternName(run.m_settings.m_pattern);
        if (format == ReportFormat::Json)
            return fmt::format("{{\"pattern\":\"{}\",\"design\":\"{}\",\"seed\":{},\"requests\":{},\"late\":{},"
                               "\"failed\":{},\"p50_s\":{:.4f},\"p99_s\":{:.4f},\"in_objective\":{:.4f},"
                               "\"worst_window\":{:.4f}}}\n",
                pattern, run.m_design, run.m_settings.m_seed, result.m_requests, result.m_late, result.m_failed,
                result.m_medianSeconds, result.m_p99Seconds, result.inObjective(), result.m_worstWindow);
        return fmt::format("{:<13} {:<15} {:>8} {:>6} {:>6} {:>8.3f} {:>8.3f} {:>8.4f} {:>8.4f}\n", pattern,
            run.m_design, result.m_requests, result.m_late, result.m_failed, result.m_medianSeconds,
            result.m_p99Seconds, result.inObjective(), result.m_worstWindow);
    }

} // namespace

FlowExperiment::DesignFactory replayDesign(std::string_view name, const FleetProfile& profile)
{
    return [name = std::string { name }, zones = profile.m_zones](
               std::span<const Endpoint> vms, FleetNetwork& network) -> std::unique_ptr<FleetDesign> {
        if (name == "naive-affinity")
            return std::make_unique<NaiveAffinityDesign>(vms.size(), zones);
        if (name == "carried-random")
            return std::make_unique<TokenDesign>(vms, zones, network, std::make_unique<RandomPlacement>());
        CR_ASSERT(name == "carried", "a design that replayDesign() supports");
        return std::make_unique<TokenDesign>(vms, zones, network);
    };
}

std::string runReplays(const FleetProfile& profile, std::uint64_t seed, ReportFormat format)
{
    std::vector<ReplayRun> runs = planReplays(profile, seed);
    tbb::parallel_for(std::size_t { 0 }, runs.size(), [&](std::size_t i) {
        runs[i].m_result = ReplayExperiment { runs[i].m_settings, runs[i].m_makeDesign }.run();
    });
    std::string text;
    if (format == ReportFormat::Table)
        text += fmt::format("{:<13} {:<15} {:>8} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}\n", "pattern", "design",
            "requests", "late", "failed", "p50", "p99", "in aim", "worst 2s");
    for (const ReplayRun& run : runs)
        text += row(run, format);
    return text;
}

} // namespace cuminrelay
