#include "settings/Program.h"

#include <boost/program_options.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <fmt/ostream.h>

#ifndef CUMINRELAY_BUILD
#define CUMINRELAY_BUILD "unknown"
#endif

namespace cuminrelay {

namespace {

    namespace options = boost::program_options;

    struct CommandLine {
        std::string m_config;
        bool m_check = false;
        bool m_version = false;
        bool m_help = false;
    };

    options::options_description describeOptions(CommandLine& commandLine)
    {
        options::options_description description { "Options" };
        description.add_options()("config", options::value(&commandLine.m_config)->value_name("FILE"),
            "settings: JSON with comments")("check", options::bool_switch(&commandLine.m_check),
            "print the effective settings, defaults included, and exit; status 2 when the file is invalid")(
            "version", options::bool_switch(&commandLine.m_version), "print version and build and exit")(
            "help", options::bool_switch(&commandLine.m_help), "print this text and exit");
        return description;
    }

    int toExitCode(ExitStatus status)
    {
        return static_cast<int>(status);
    }

    int printInputError(std::string_view message)
    {
        fmt::print(stderr, "{}\n", message);
        return toExitCode(ExitStatus::BadInput);
    }

} // namespace

namespace {

    Outcome<void> parse(std::span<char* const> arguments, const options::options_description& description,
        const options::positional_options_description& positions)
    {
        // Boost.Program_options throws on an invalid command line.
        try {
            options::variables_map variables;
            options::store(options::command_line_parser(static_cast<int>(arguments.size()), arguments.data())
                               .options(description)
                               .positional(positions)
                               .run(),
                variables);
            options::notify(variables);
        } catch (const options::error& failure) {
            return Error { ErrorKind::InvalidInput, failure.what() };
        }
        return boost::outcome_v2::success();
    }

} // namespace

Outcome<void> parseCommandLine(std::span<char* const> arguments, const options::options_description& description)
{
    return parse(arguments, description, {});
}

Outcome<void> parseCommandLine(std::span<char* const> arguments, const options::options_description& description,
    std::vector<std::string>& positionalArguments)
{
    options::options_description all;
    all.add(description).add_options()("word", options::value(&positionalArguments));
    options::positional_options_description positions;
    positions.add("word", -1);
    return parse(arguments, all, positions);
}

std::string versionText(std::string_view name)
{
    return fmt::format("{} {} (build {}, g++ {})", name, CUMINRELAY_VERSION, CUMINRELAY_BUILD, __VERSION__);
}

int runProgram(std::span<char* const> arguments, std::string_view name, std::string_view description,
    const std::function<void(SettingsReader&)>& read, const std::function<ExitStatus()>& run)
{
    CommandLine commandLine;
    const options::options_description optionsDescription = describeOptions(commandLine);
    const Outcome<void> parsed = parseCommandLine(arguments, optionsDescription);
    if (!parsed)
        return printInputError(fmt::format("{}: {}; see {} --help", name, parsed.error().m_message, name));
    if (commandLine.m_help) {
        const std::string_view file = name.substr(name.rfind('-') + 1);
        fmt::print("{}: {}\n\nExample: {} --config /etc/cuminrelay/{}.json\n\n", name, description, name, file);
        fmt::print("{}", fmt::streamed(optionsDescription));
        fmt::print("\nExit status: 0 success, 1 failure, 2 bad command line or settings.\n");
        return toExitCode(ExitStatus::Success);
    }
    if (commandLine.m_version) {
        fmt::print("{}\n", versionText(name));
        return toExitCode(ExitStatus::Success);
    }
    if (commandLine.m_config.empty())
        return printInputError(fmt::format("{}: --config FILE is missing; see {} --help", name, name));

    Outcome<SettingsReader> loaded = SettingsReader::load(commandLine.m_config);
    if (!loaded)
        return printInputError(loaded.error().m_message);
    SettingsReader& settings = loaded.value();
    read(settings);
    const Outcome<void> finished = settings.finish();
    if (!finished)
        return printInputError(finished.error().m_message);
    if (commandLine.m_check) {
        fmt::print("{}", settings.effectiveText());
        return toExitCode(ExitStatus::Success);
    }
    return toExitCode(run());
}

} // namespace cuminrelay
