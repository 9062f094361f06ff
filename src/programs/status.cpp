#include "settings/Program.h"
#include "status/StatusClient.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {
namespace {

    namespace options = boost::program_options;

    constexpr std::string_view c_name = "cuminrelay-status";
    constexpr unsigned c_maximumTimeoutSeconds = 3'600;

    struct StatusOptions {
        std::vector<std::string> m_vms;
        std::uint64_t m_version = 0; ///< configuration version to wait for; 0: do not wait
        unsigned m_timeoutSeconds = 5;
        std::string m_output = "table";
        bool m_showVersion = false;
        bool m_help = false;
    };

    int reportBadInput(std::string_view message)
    {
        fmt::print(stderr, "{}: {}; see {} --help\n", c_name, message, c_name);
        return static_cast<int>(ExitStatus::BadInput);
    }

    int show(const StatusOptions& commandLine, std::span<const Endpoint> vms)
    {
        const std::chrono::steady_clock::time_point deadline
            = std::chrono::steady_clock::now() + std::chrono::seconds { commandLine.m_timeoutSeconds };
        const ConfigVersion version { commandLine.m_version };
        const std::vector<VmStatus> statuses
            = commandLine.m_version ? awaitVersion(vms, version, deadline) : fetchStatuses(vms, deadline);
        fmt::print("{}", commandLine.m_output == "json" ? statusJson(statuses) : statusTable(statuses));
        return static_cast<int>(isInForce(statuses, version) ? ExitStatus::Success : ExitStatus::Failure);
    }

    int runMain(std::span<char* const> arguments)
    {
        StatusOptions commandLine;
        options::options_description described { "Options" };
        described.add_options()("wait", options::value(&commandLine.m_version)->value_name("VERSION"),
            "wait until this configuration version is in force on all VMs")(
            "timeout", options::value(&commandLine.m_timeoutSeconds)->value_name("SECONDS"), "time limit (default 5)")(
            "output", options::value(&commandLine.m_output)->value_name("json|table"), "output format (default table)")(
            "version", options::bool_switch(&commandLine.m_showVersion), "print version and build and exit")(
            "help", options::bool_switch(&commandLine.m_help), "print this text and exit");
        const Outcome<void> parsed = parseCommandLine(arguments, described, commandLine.m_vms);
        if (!parsed)
            return reportBadInput(parsed.error().m_message);
        if (commandLine.m_help) {
            fmt::print("Usage: {0} ADDRESS:PORT...\nShows the state of entry VMs, from their metrics addresses.\n\n"
                       "Example: {0} --wait 12 10.1.0.10:9464 10.2.0.40:9464\n\n{1}\n"
                       "Exit status: 0 all VMs are ready and have the version in force; 1 some do not; "
                       "2 invalid command line.\n",
                c_name, fmt::streamed(described));
            return static_cast<int>(ExitStatus::Success);
        }
        if (commandLine.m_showVersion) {
            fmt::print("{}\n", versionText(c_name));
            return static_cast<int>(ExitStatus::Success);
        }
        if (commandLine.m_vms.empty())
            return reportBadInput("expected the metrics addresses of entry VMs");
        if (commandLine.m_output != "json" && commandLine.m_output != "table")
            return reportBadInput(fmt::format("--output: found \"{}\"; allowed: json, table", commandLine.m_output));
        if (commandLine.m_timeoutSeconds == 0 || commandLine.m_timeoutSeconds > c_maximumTimeoutSeconds)
            return reportBadInput(fmt::format(
                "--timeout: found {}; allowed: 1 to {}", commandLine.m_timeoutSeconds, c_maximumTimeoutSeconds));
        std::vector<Endpoint> vms;
        for (const std::string& text : commandLine.m_vms) {
            const Outcome<Endpoint> vm = parseEndpoint(text);
            if (!vm)
                return reportBadInput(vm.error().m_message);
            vms.push_back(vm.value());
        }
        return show(commandLine, vms);
    }

} // namespace
} // namespace cuminrelay

int main(int argc, char** argv)
{
    return cuminrelay::runMain({ argv, static_cast<std::size_t>(argc) });
}
