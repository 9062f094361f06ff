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
    constexpr unsigned c_longestTimeoutSeconds = 3'600;

    struct StatusOptions {
        std::vector<std::string> m_vms;
        std::uint64_t m_version = 0; ///< to wait for; 0: do not wait
        unsigned m_timeoutSeconds = 5;
        std::string m_output = "table";
        bool m_showVersion = false;
        bool m_help = false;
    };

    int refuse(std::string_view message)
    {
        fmt::print(stderr, "{}: {}; see {} --help\n", c_name, message, c_name);
        return static_cast<int>(ExitStatus::BadInput);
    }

    int show(const StatusOptions& given, std::span<const Endpoint> vms)
    {
        const std::chrono::steady_clock::time_point deadline
            = std::chrono::steady_clock::now() + std::chrono::seconds { given.m_timeoutSeconds };
        const ConfigVersion version { given.m_version };
        const std::vector<VmStatus> statuses
            = given.m_version ? awaitVersion(vms, version, deadline) : fetchStatuses(vms, deadline);
        fmt::print("{}", given.m_output == "json" ? statusJson(statuses) : statusTable(statuses));
        return static_cast<int>(isInForce(statuses, version) ? ExitStatus::Success : ExitStatus::Failure);
    }

    int runMain(std::span<char* const> arguments)
    {
        StatusOptions given;
        options::options_description described { "Options" };
        described.add_options()("wait", options::value(&given.m_version)->value_name("VERSION"),
            "wait until this configuration version is in force on all VMs")(
            "timeout", options::value(&given.m_timeoutSeconds)->value_name("SECONDS"), "time limit (default 5)")(
            "output", options::value(&given.m_output)->value_name("json|table"), "output format (default table)")(
            "version", options::bool_switch(&given.m_showVersion), "print version and build and exit")(
            "help", options::bool_switch(&given.m_help), "print this text and exit");
        const Outcome<void> parsed = parseCommandLine(arguments, described, given.m_vms);
        if (!parsed)
            return refuse(parsed.error().m_message);
        if (given.m_help) {
            fmt::print("Usage: {0} ADDRESS:PORT...\nShows the state of entry VMs, from their metrics addresses.\n\n"
                       "Example: {0} --wait 12 10.1.0.10:9464 10.2.0.40:9464\n\n{1}\n"
                       "Exit status: 0 all VMs are ready and have the version in force; 1 some do not; "
                       "2 invalid command line.\n",
                c_name, fmt::streamed(described));
            return static_cast<int>(ExitStatus::Success);
        }
        if (given.m_showVersion) {
            fmt::print("{}\n", versionText(c_name));
            return static_cast<int>(ExitStatus::Success);
        }
        if (given.m_vms.empty())
            return refuse("expected the metrics addresses of entry VMs");
        if (given.m_output != "json" && given.m_output != "table")
            return refuse(fmt::format("--output: found \"{}\"; allowed: json, table", given.m_output));
        if (given.m_timeoutSeconds == 0 || given.m_timeoutSeconds > c_longestTimeoutSeconds)
            return refuse(
                fmt::format("--timeout: found {}; allowed: 1 to {}", given.m_timeoutSeconds, c_longestTimeoutSeconds));
        std::vector<Endpoint> vms;
        for (const std::string& text : given.m_vms) {
            const Outcome<Endpoint> vm = parseEndpoint(text);
            if (!vm)
                return refuse(vm.error().m_message);
            vms.push_back(vm.value());
        }
        return show(given, vms);
    }

} // namespace
} // namespace cuminrelay

int main(int argc, char** argv)
{
    return cuminrelay::runMain({ argv, static_cast<std::size_t>(argc) });
}
