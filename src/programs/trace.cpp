#include "settings/Program.h"
#include "trace/FlowTimeline.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <fstream>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {
namespace {

    namespace options = boost::program_options;

    constexpr std::string_view c_name = "cuminrelay-trace";

    struct TraceOptions {
        std::vector<std::string> m_arguments; ///< the flow, then files
        std::string m_output = "table";
        bool m_showVersion = false;
        bool m_help = false;
    };

    int reportBadInput(std::string_view message)
    {
        fmt::print(stderr, "{}: {}; see {} --help\n", c_name, message, c_name);
        return static_cast<int>(ExitStatus::BadInput);
    }

    /// Adds the log lines of a file. Other text is skipped. Errors: NotFound.
    Outcome<void> readLines(const std::string& path, std::vector<LogLine>& lines)
    {
        std::ifstream file { path };
        if (!file)
            return Error { ErrorKind::NotFound, fmt::format("cannot read {}", path) };
        const std::string name = std::filesystem::path { path }.stem().string();
        for (std::string text; std::getline(file, text);) {
            Outcome<LogLine> line = parseLogLine(text, name);
            if (line)
                lines.push_back(std::move(line.value()));
        }
        return boost::outcome_v2::success();
    }

    void printTable(const FlowTimeline& timeline)
    {
        for (const LogLine& line : timeline.m_lines)
            fmt::print("{}  {:<24} {:<18} {}\n", timeText(line.m_time), line.m_source, line.m_event, line.m_details);
        for (const std::string& finding : timeline.m_findings)
            fmt::print("- {}\n", finding);
    }

    void printJson(const FlowTimeline& timeline)
    {
        boost::json::array lines;
        for (const LogLine& line : timeline.m_lines)
            lines.push_back({ { "time", timeText(line.m_time) }, { "source", line.m_source }, { "event", line.m_event },
                { "details", line.m_details } });
        boost::json::array findings;
        for (const std::string& finding : timeline.m_findings)
            findings.emplace_back(finding);
        fmt::print(
            "{}\n", boost::json::serialize(boost::json::object { { "lines", lines }, { "findings", findings } }));
    }

    int trace(const TraceOptions& commandLine)
    {
        std::vector<LogLine> lines;
        for (const std::string& path : std::span { commandLine.m_arguments }.subspan(1)) {
            const Outcome<void> read = readLines(path, lines);
            if (!read)
                return reportBadInput(read.error().m_message);
        }
        const FlowTimeline timeline = buildFlowTimeline(commandLine.m_arguments.front(), lines);
        if (commandLine.m_output == "json")
            printJson(timeline);
        else
            printTable(timeline);
        return static_cast<int>(timeline.m_lines.empty() ? ExitStatus::Failure : ExitStatus::Success);
    }

    int runMain(std::span<char* const> arguments)
    {
        TraceOptions commandLine;
        options::options_description described { "Options" };
        described.add_options()(
            "output", options::value(&commandLine.m_output)->value_name("json|table"), "output format (default table)")(
            "version", options::bool_switch(&commandLine.m_showVersion), "print version and build and exit")(
            "help", options::bool_switch(&commandLine.m_help), "print this text and exit");
        const Outcome<void> parsed = parseCommandLine(arguments, described, commandLine.m_arguments);
        if (!parsed)
            return reportBadInput(parsed.error().m_message);
        if (commandLine.m_help) {
            fmt::print(
                "Usage: {0} FLOW FILE...\nMerges the logs of entry VMs into the timeline of one flow.\n\n"
                "Example: {0} '100.64.0.7:40001>198.18.0.1:443' vm-*.log\n\n{1}\n"
                "Exit status: 0 the flow was found; 1 no line names it; 2 invalid command line or unreadable file.\n",
                c_name, fmt::streamed(described));
            return static_cast<int>(ExitStatus::Success);
        }
        if (commandLine.m_showVersion) {
            fmt::print("{}\n", versionText(c_name));
            return static_cast<int>(ExitStatus::Success);
        }
        if (commandLine.m_arguments.size() < 2)
            return reportBadInput("expected a flow and files");
        if (commandLine.m_arguments.front().find('>') == std::string::npos)
            return reportBadInput(
                fmt::format("found \"{}\"; a flow is CALLER:PORT>SERVICE:PORT", commandLine.m_arguments.front()));
        if (commandLine.m_output != "json" && commandLine.m_output != "table")
            return reportBadInput(fmt::format("--output: found \"{}\"; allowed: json, table", commandLine.m_output));
        return trace(commandLine);
    }

} // namespace
} // namespace cuminrelay

int main(int argc, char** argv)
{
    return cuminrelay::runMain({ argv, static_cast<std::size_t>(argc) });
}
