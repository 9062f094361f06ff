#include "bench/AttemptMatrix.h"
#include "bench/ChangeMatrix.h"
#include "bench/DesignCatalog.h"
#include "bench/FaultMatrix.h"
#include "bench/LoadReport.h"
#include "bench/MembersExperiment.h"
#include "bench/PacketBench.h"
#include "bench/ReplayReport.h"
#include "bench/Reports.h"
#include "bench/Slopes.h"
#include "settings/Program.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace cuminrelay {
namespace {

    namespace options = boost::program_options;

    struct BenchOptions {
        std::string m_command;
        std::string m_profile;
        std::string m_design;
        std::string m_fabric;
        std::uint64_t m_seed = 1;
        unsigned m_repeats = 1;
        double m_arrivalsPerSecond = 0;
        std::size_t m_flows = 0;
        std::size_t m_vms = 0;
        bool m_pairs = true;
        std::string m_firstFault;
        std::string m_secondFault;
        std::string m_knownFile;
        std::string m_faultTarget;
        bool m_trace = false;
        bool m_naive = false;
        unsigned m_sparsity = 1;
        ReportFormat m_format = ReportFormat::Table;
    };

    constexpr std::string_view c_byPacket = "packets";
    constexpr std::string_view c_byFlow = "flows";

    constexpr std::string_view c_usage = R"(usage: cuminrelay-bench COMMAND [options]

  compare   the same arrivals and single faults against each design
  faults    the fault matrix: every fault alone and with a second one later; status 1 if an invariant is violated
  replay    results for callers under the loads of days with incidents, compared with the naive forwarder
  load      placement and admission under ordinary load, stragglers and a load spike
  slopes    growth of messages, tables and processor time with the size of the fleet
  members   heartbeats between control processes: bytes, times to detection and propagation, false alarms
  packets   processor time of a decision on a packet of an established flow, by the number of open flows

example: cuminrelay-bench faults --profile kalahari --seed 7

)";

    FaultMatrixSettings matrixSettings(const BenchOptions& commandLine, const FleetProfile& profile)
    {
        FaultMatrixSettings settings;
        settings.m_profile = profile;
        settings.m_design = commandLine.m_design;
        settings.m_fabric
            = commandLine.m_fabric == c_byFlow ? FabricKind::EachFlowByHash : FabricKind::EachPacketAnywhere;
        settings.m_seed = commandLine.m_seed;
        settings.m_repeats = commandLine.m_repeats;
        settings.m_pairs = commandLine.m_pairs;
        settings.m_firstFaultFilter = commandLine.m_firstFault;
        settings.m_secondFaultFilter = commandLine.m_secondFault;
        settings.m_arrivalsPerSecond = commandLine.m_arrivalsPerSecond;
        return settings;
    }

    ExitStatus compare(const BenchOptions& commandLine, const FleetProfile& profile)
    {
        if (commandLine.m_format == ReportFormat::Table)
            fmt::print("{:<22} {:<18} {:>6} {:>6} {:>6} {:>5} {:>6} {:>6} {:>6} {:>6} {:>7} {:>8} {:>6}\n", "design",
                "fault", "flows", "reset", "stall", "dead", "estab", "misrt", "twice", "hops", "relayed", "control",
                "imbal");
        FaultMatrixSettings settings = matrixSettings(commandLine, profile);
        settings.m_pairs = false;
        for (const std::string_view design : designNames()) {
            settings.m_design = design;
            fmt::print("{}", reportComparison(design, runFaultMatrix(settings), commandLine.m_format));
        }
        return ExitStatus::Success;
    }

    /// Reads the list of runs that may violate an invariant; empty without a file, nothing if the file is unreadable.
    std::optional<std::string> readKnownRuns(const BenchOptions& commandLine)
    {
        if (commandLine.m_knownFile.empty())
            return std::string {};
        std::ifstream file { commandLine.m_knownFile };
        if (!file) {
            fmt::print(stderr, "cuminrelay-bench: cannot read {}\n", commandLine.m_knownFile);
            return std::nullopt;
        }
        return std::string { std::istreambuf_iterator<char> { file }, {} };
    }

    ExitStatus faults(const BenchOptions& commandLine, const FleetProfile& profile)
    {
        const FaultMatrixSettings settings = matrixSettings(commandLine, profile);
        std::vector<FaultRun> runs = runFaultMatrix(settings);
        const std::optional<std::string> known = readKnownRuns(commandLine);
        if (!known)
            return ExitStatus::BadInput;
        markKnown(runs, settings, *known);
        fmt::print("{}", reportMatrix(runs, commandLine.m_format));
        if (commandLine.m_trace)
            fmt::print(stderr, "{}", reportBrokenFlows(runs));
        const std::ptrdiff_t knownRuns = std::count_if(
            runs.begin(), runs.end(), [](const FaultRun& run) { return run.m_isKnown && !run.m_violation.empty(); });
        const std::ptrdiff_t violations = std::count_if(
            runs.begin(), runs.end(), [](const FaultRun& run) { return !run.m_isKnown && !run.m_violation.empty(); });
        fmt::print(stderr, "{} runs, {} violated an invariant, {} more are listed as known\n", runs.size(), violations,
            knownRuns);
        return violations == 0 ? ExitStatus::Success : ExitStatus::Failure;
    }

    ExitStatus attemptFaults(const BenchOptions& commandLine)
    {
        AttemptMatrixSettings settings;
        settings.m_seed = commandLine.m_seed;
        settings.m_repeats = commandLine.m_repeats;
        settings.m_pairs = commandLine.m_pairs;
        settings.m_design = commandLine.m_naive ? AttemptDesign::RetryOnTimeout : AttemptDesign::Ledger;
        const std::vector<AttemptRun> runs = runAttemptMatrix(settings);
        fmt::print("{}", reportAttemptMatrix(runs, commandLine.m_format));
        const std::ptrdiff_t violations = std::count_if(
            runs.begin(), runs.end(), [](const AttemptRun& run) { return run.m_result.violations() > 0; });
        fmt::print(stderr, "attempts: {} runs, {} violated an invariant\n", runs.size(), violations);
        return violations == 0 ? ExitStatus::Success : ExitStatus::Failure;
    }

    ExitStatus changeFaults(const BenchOptions& commandLine)
    {
        ChangeMatrixSettings settings;
        settings.m_seed = commandLine.m_seed;
        settings.m_repeats = commandLine.m_repeats;
        settings.m_pairs = commandLine.m_pairs;
        settings.m_sparsity = std::max(1U, commandLine.m_sparsity);
        if (commandLine.m_naive)
            settings.m_design = std::make_shared<LatestWinsChanges>();
        else
            settings.m_design = std::make_shared<VersionedChanges>();
        const std::optional<std::string> known = readKnownRuns(commandLine);
        if (!known)
            return ExitStatus::BadInput;
        std::vector<ChangeRun> runs = runChangeMatrix(settings);
        markKnown(runs, settings.m_seed, *known);
        fmt::print("{}", reportChangeMatrix(runs, commandLine.m_format));
        const std::ptrdiff_t violations = std::count_if(
            runs.begin(), runs.end(), [](const ChangeRun& run) { return run.hasViolations() && !run.m_isKnown; });
        const std::ptrdiff_t knownRuns = std::count_if(
            runs.begin(), runs.end(), [](const ChangeRun& run) { return run.hasViolations() && run.m_isKnown; });
        const std::ptrdiff_t restored = std::count_if(
            runs.begin(), runs.end(), [](const ChangeRun& run) { return run.m_result.m_lostByStore > 0; });
        fmt::print(stderr,
            "changes: {} runs, {} violated an invariant, {} more are listed as known; in {} a restored store lost "
            "accepted edits\n",
            runs.size(), violations, knownRuns, restored);
        return violations == 0 ? ExitStatus::Success : ExitStatus::Failure;
    }

    ExitStatus packets(const BenchOptions& commandLine)
    {
        fmt::print("{}", runPacketBench(commandLine.m_flows, commandLine.m_seed, commandLine.m_format));
        return ExitStatus::Success;
    }

    int run(std::span<char* const> arguments)
    {
        BenchOptions commandLine;
        options::options_description described { "options" };
        described.add_options()("help", "print this text and exit")("version", "print the version and exit")("profile",
            options::value(&commandLine.m_profile)->default_value("shirakaba"), "shirakaba or kalahari")("design",
            options::value(&commandLine.m_design)->default_value("owner"), "the design that faults are injected into")(
            "fabric", options::value(&commandLine.m_fabric)->default_value(std::string { c_byPacket }),
            "packets: the fabric spreads single packets over entry VMs; flows: it spreads flows by their hash")("seed",
            options::value(&commandLine.m_seed)->default_value(1), "the same seed gives the same run")("repeats",
            options::value(&commandLine.m_repeats)->default_value(1), "number of seeds for each single fault")(
            "arrivals", options::value(&commandLine.m_arrivalsPerSecond)->default_value(300),
            "new flows per second in the fleet")("flows", options::value(&commandLine.m_flows)->default_value(0),
            "packets: only this many flows; 0: 10^3 to 10^6")("vms",
            options::value(&commandLine.m_vms)->default_value(0),
            "members: only fleets of this many entry VMs; 0: 8 to 700")(
            "single", "faults: only single faults, no pairs")("first", options::value(&commandLine.m_firstFault),
            "faults: only runs with this first fault")("second", options::value(&commandLine.m_secondFault),
            "faults: only runs with this second fault")("known", options::value(&commandLine.m_knownFile),
            "faults: file with the list of runs that may violate an invariant, such as KNOWN-RED.txt")("of",
            options::value(&commandLine.m_faultTarget)->default_value("flows"),
            "faults: target of the faults: flows; attempts, at each step of one; or changes, at each step of a change, "
            "a join and a drain")("every", options::value(&commandLine.m_sparsity)->default_value(1),
            "faults --of changes: only every n-th pair")(
            "naive", "faults --of attempts, --of changes: against a baseline design that violates the invariants")(
            "trace", "faults: print details of the broken flows to standard error")("json", "one JSON object per line");
        options::options_description all;
        all.add(described).add_options()("command", options::value(&commandLine.m_command));
        options::positional_options_description positions;
        positions.add("command", 1);
        options::variables_map values;
        try {
            options::store(options::command_line_parser(static_cast<int>(arguments.size()), arguments.data())
                               .options(all)
                               .positional(positions)
                               .run(),
                values);
            options::notify(values);
        } catch (const options::error& problem) {
            fmt::print(stderr, "cuminrelay-bench: {}\n", problem.what());
            return static_cast<int>(ExitStatus::BadInput);
        }
        if (values.count("version") > 0) {
            fmt::print("cuminrelay-bench {}\n", CUMINRELAY_VERSION);
            return 0;
        }
        if (values.count("help") > 0 || commandLine.m_command.empty()) {
            std::string help;
            for (const boost::shared_ptr<options::option_description>& option : described.options())
                help += fmt::format(
                    "  {:<24} {}\n", option->format_name() + " " + option->format_parameter(), option->description());
            fmt::print("{}{}", c_usage, help);
            return values.count("help") > 0 ? 0 : static_cast<int>(ExitStatus::BadInput);
        }
        commandLine.m_trace = values.count("trace") > 0;
        commandLine.m_naive = values.count("naive") > 0;
        commandLine.m_pairs = values.count("single") == 0;
        commandLine.m_format = values.count("json") > 0 ? ReportFormat::Json : ReportFormat::Table;
        const std::optional<FleetProfile> profile = findFleetProfile(commandLine.m_profile);
        if (!profile) {
            fmt::print(stderr, "cuminrelay-bench: no profile \"{}\"; there are shirakaba and kalahari\n",
                commandLine.m_profile);
            return static_cast<int>(ExitStatus::BadInput);
        }
        const std::span<const std::string_view> designs = designNames();
        if (std::find(designs.begin(), designs.end(), commandLine.m_design) == designs.end()) {
            fmt::print(stderr, "cuminrelay-bench: no design \"{}\"; there are {}\n", commandLine.m_design,
                fmt::join(designs, ", "));
            return static_cast<int>(ExitStatus::BadInput);
        }
        if (commandLine.m_fabric != c_byPacket && commandLine.m_fabric != c_byFlow) {
            fmt::print(stderr, "cuminrelay-bench: no fabric \"{}\"; there are {} and {}\n", commandLine.m_fabric,
                c_byPacket, c_byFlow);
            return static_cast<int>(ExitStatus::BadInput);
        }
        if (commandLine.m_command == "compare")
            return static_cast<int>(compare(commandLine, *profile));
        if (commandLine.m_command == "faults" && commandLine.m_faultTarget == "attempts")
            return static_cast<int>(attemptFaults(commandLine));
        if (commandLine.m_command == "faults" && commandLine.m_faultTarget == "changes")
            return static_cast<int>(changeFaults(commandLine));
        if (commandLine.m_command == "faults" && commandLine.m_faultTarget == "flows")
            return static_cast<int>(faults(commandLine, *profile));
        if (commandLine.m_command == "load") {
            fmt::print("{}", runLoadComparison(*profile, commandLine.m_seed, commandLine.m_format));
            return 0;
        }
        if (commandLine.m_command == "replay") {
            fmt::print("{}", runReplays(*profile, commandLine.m_seed, commandLine.m_format));
            return 0;
        }
        if (commandLine.m_command == "slopes") {
            fmt::print("{}", runSlopes(commandLine.m_format));
            return 0;
        }
        if (commandLine.m_command == "members") {
            fmt::print("{}", runMembersExperiment(commandLine.m_vms, commandLine.m_seed, commandLine.m_format));
            return 0;
        }
        if (commandLine.m_command == "packets")
            return static_cast<int>(packets(commandLine));
        fmt::print(stderr, "cuminrelay-bench: no command \"{}\"; see --help\n", commandLine.m_command);
        return static_cast<int>(ExitStatus::BadInput);
    }

} // namespace
} // namespace cuminrelay

int main(int argc, char** argv)
{
    return cuminrelay::run({ argv, static_cast<std::size_t>(argc) });
}
