#include "operators/CommandLine.h"

#include "base/Hash.h"
#include "objectapi/HttpPlatformClient.h"
#include "objectapi/RetryingPlatformClient.h"
#include "observe/Metrics.h"
#include "settings/JsonText.h"
#include "settings/NearestName.h"
#include "settings/Program.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <random>
#include <utility>

namespace cuminrelay::operators {

namespace asio = boost::asio;
namespace options = boost::program_options;

namespace {

    constexpr std::string_view c_program = "cuminrelayctl";
    constexpr std::string_view c_defaultConfig = "/etc/cuminrelay/ctl.json";
    constexpr unsigned c_defaultTimeoutSeconds = 10;
    constexpr unsigned c_maximumTimeoutSeconds = 3600;
    constexpr std::size_t c_maximumAuthorBytes = 64;

    struct GlobalOptions {
        std::string m_config { c_defaultConfig };
        std::string m_output = "table";
        unsigned m_timeoutSeconds = c_defaultTimeoutSeconds;
        bool m_help = false;
        bool m_check = false;
    };

    struct OperatorSettings {
        PlatformSettings m_platform;
        std::string m_author;

        static OperatorSettings read(SettingsReader& settings)
        {
            OperatorSettings result;
            result.m_platform = PlatformSettings::read(settings);
            result.m_author = settings.requiredText("author");
            if (result.m_author.size() > c_maximumAuthorBytes)
                settings.addProblem("author", fmt::format("longer than {} bytes", c_maximumAuthorBytes));
            return result;
        }
    };

    constexpr std::string_view c_exitStatuses
        = "Exit status: 0 done; 1 not achieved (not in force yet, differences found, edit not found);\n"
          "2 invalid command line, settings, file or name, nothing changed; 3 conflict with another edit, nothing\n"
          "changed; 4 platform not available, or it is unknown whether the edit took effect.\n";

    CommandLineResult fail(CommandStatus status, std::string message)
    {
        return { static_cast<int>(status), {}, fmt::format("{}: {}\n", c_program, message) };
    }

    std::string programHelp()
    {
        std::string text = fmt::format("Usage: {} VERB ... [OPTIONS]\n\nVerbs:\n", c_program);
        for (const Command* const command : allCommands()) {
            const VerbHelp help = command->help();
            text += fmt::format("  {:<9}{}\n", help.m_name, help.m_summary);
        }
        text += fmt::format(
            "\n\"{0} VERB --help\" shows the options of a verb. \"{0} --check --config FILE\" checks the settings,\n"
            "\"{0} --version\" prints version and build.\n\nExample: {0} status\n\n{1}",
            c_program, c_exitStatuses);
        return text;
    }

    void addVerbOption(options::options_description& description, VerbOption option, CommandOptions& values)
    {
        switch (option) {
        case VerbOption::File:
            description.add_options()(
                "file,f", options::value(&values.m_file)->value_name("FILE")->required(), "declarations file");
            return;
        case VerbOption::Force:
            description.add_options()("force", options::bool_switch(&values.m_forced),
                "edit even if a service would lose all its hosts or share an address, or if the store went back");
            return;
        case VerbOption::Base:
            description.add_options()("base", options::value<std::uint64_t>()->value_name("VERSION"),
                "refuse the edit if an object that it changes was changed after VERSION");
            return;
        case VerbOption::Selector:
            description.add_options()("selector,l", options::value(&values.m_selector)->value_name("SELECTOR"),
                "show only objects with matching labels");
            return;
        case VerbOption::Protocol:
            description.add_options()(
                "protocol", options::value(&values.m_protocol)->value_name("tcp|udp"), "protocol of the flow");
            return;
        case VerbOption::Limit:
            description.add_options()(
                "limit", options::value(&values.m_limit)->value_name("COUNT"), "maximum number of edits to show");
            return;
        case VerbOption::EditId:
            description.add_options()("id", options::value(&values.m_editId)->value_name("ID"), "show only this edit");
            return;
        }
    }

    options::options_description describeOptions(const VerbHelp& help, GlobalOptions& global, CommandOptions& values)
    {
        options::options_description description { "Options" };
        for (const VerbOption option : help.m_options)
            addVerbOption(description, option, values);
        description.add_options()("config", options::value(&global.m_config)->value_name("FILE"),
            "settings file (default /etc/cuminrelay/ctl.json)")("check", options::bool_switch(&global.m_check),
            "print the effective settings and exit; status 2 if the file is invalid")("output",
            options::value(&global.m_output)->value_name("json|table"),
            "output format (default table)")("timeout", options::value(&global.m_timeoutSeconds)->value_name("SECONDS"),
            "time limit (default 10)")("help", options::bool_switch(&global.m_help), "print this text and exit");
        return description;
    }

    Outcome<void> parseOptions(
        std::span<const std::string> arguments, const options::options_description& description, CommandOptions& values)
    {
        options::options_description all;
        all.add(description).add_options()("word", options::value(&values.m_arguments));
        options::positional_options_description positional;
        positional.add("word", -1);
        // Boost.Program_options throws on an invalid command line; the exception is converted to an Error.
        try {
            options::variables_map parsed;
            const std::vector<std::string> words { arguments.begin(), arguments.end() };
            options::store(options::command_line_parser(words).options(all).positional(positional).run(), parsed);
            if (parsed.count("base") != 0)
                values.m_base = parsed["base"].as<std::uint64_t>();
            if (!parsed["help"].as<bool>())
                options::notify(parsed);
        } catch (const options::error& failure) {
            return Error { ErrorKind::InvalidInput, failure.what() };
        }
        return boost::outcome_v2::success();
    }

    /// Random, so that runs on all machines have different ids.
    std::string makeEditId()
    {
        std::random_device device;
        const std::uint64_t high = device();
        return fmt::format("{:08x}{:08x}", high, device());
    }

    asio::awaitable<void> runCommand(
        const Command& command, CommandContext& context, std::optional<Outcome<CommandResult>>& result)
    {
        result.emplace(co_await command.run(context));
    }

    Outcome<CommandResult> execute(const Command& command, const OperatorSettings& settings,
        const GlobalOptions& global, CommandOptions values, std::span<const std::string> arguments)
    {
        const SystemClock clock;
        Metrics metrics;
        asio::io_context loop;
        const std::string editId = makeEditId();
        HttpPlatformClient direct { loop.get_executor(), settings.m_platform, clock, metrics };
        BudgetedRetryPolicy policy { {}, hashText(editId, 0) };
        RetryingPlatformClient platform { direct, policy, clock, metrics };
        CommandContext context {
            .m_platform = platform,
            .m_clock = clock,
            .m_options = std::move(values),
            .m_author = settings.m_author,
            .m_commandLine = fmt::format("{}", fmt::join(arguments, " ")),
            .m_editId = editId,
            .m_unixMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count(),
            .m_deadline = clock.now() + std::chrono::seconds { global.m_timeoutSeconds },
        };
        std::optional<Outcome<CommandResult>> result;
        asio::co_spawn(loop, runCommand(command, context, result), asio::detached);
        loop.run();
        if (!result)
            return Error { ErrorKind::Unavailable, "the command ended without a result" };
        return std::move(*result);
    }

    Outcome<OperatorSettings> loadSettings(const std::string& path, std::string* effective)
    {
        Outcome<SettingsReader> reader = SettingsReader::load(path);
        if (!reader)
            return reader.error();
        const OperatorSettings settings = OperatorSettings::read(reader.value());
        if (const Outcome<void> finished = reader.value().finish(); !finished)
            return finished.error();
        if (effective)
            *effective = reader.value().effectiveText();
        return settings;
    }

    CommandLineResult checkSettings(std::span<const std::string> arguments)
    {
        GlobalOptions global;
        CommandOptions values;
        const Outcome<void> parsed = parseOptions(arguments, describeOptions({}, global, values), values);
        if (!parsed || !values.m_arguments.empty() || !global.m_check)
            return fail(CommandStatus::BadInput, "expected a verb, or --check --config FILE; see --help");
        std::string effective;
        const Outcome<OperatorSettings> settings = loadSettings(global.m_config, &effective);
        if (!settings)
            return { static_cast<int>(CommandStatus::BadInput), {}, settings.error().m_message + '\n' };
        return { 0, std::move(effective), {} };
    }

    CommandLineResult runVerb(const Command& command, std::span<const std::string> arguments)
    {
        const VerbHelp help = command.help();
        GlobalOptions global;
        CommandOptions values;
        const options::options_description description = describeOptions(help, global, values);
        const Outcome<void> parsed = parseOptions(arguments.subspan(1), description, values);
        if (!parsed) {
            return fail(CommandStatus::BadInput,
                fmt::format("{0}: {1}; see \"{2} {0} --help\"", help.m_name, parsed.error().m_message, c_program));
        }
        if (std::ranges::find(arguments, "--help") != arguments.end()) {
            return { 0,
                fmt::format("Usage: {} {} {}\n{}.\n\nExample: {}\n\n{}\n{}", c_program, help.m_name, help.m_usage,
                    help.m_summary, help.m_example, fmt::streamed(description), c_exitStatuses),
                {} };
        }
        if (global.m_output != "table" && global.m_output != "json") {
            return fail(
                CommandStatus::BadInput, fmt::format("--output: found \"{}\"; allowed: json, table", global.m_output));
        }
        if (global.m_timeoutSeconds == 0 || global.m_timeoutSeconds > c_maximumTimeoutSeconds) {
            return fail(CommandStatus::BadInput,
                fmt::format("--timeout: found {}; allowed: 1 to {}", global.m_timeoutSeconds, c_maximumTimeoutSeconds));
        }
        const Outcome<OperatorSettings> settings = loadSettings(global.m_config, nullptr);
        if (!settings)
            return { static_cast<int>(CommandStatus::BadInput), {}, settings.error().m_message + '\n' };

        const Outcome<CommandResult> result = execute(command, settings.value(), global, std::move(values), arguments);
        if (!result) {
            const Error& error = result.error();
            return fail(statusOf(error.m_kind), fmt::format("{}: {}", errorKindName(error.m_kind), error.m_message));
        }
        std::string output
            = global.m_output == "json" ? indentedJsonText(result.value().m_json) : result.value().m_text;
        return { static_cast<int>(result.value().m_status), std::move(output), {} };
    }

} // namespace

CommandLineResult runCommandLine(std::span<const std::string> arguments)
{
    if (arguments.empty())
        return { static_cast<int>(CommandStatus::BadInput), {}, programHelp() };
    const std::string& verb = arguments.front();
    if (verb == "--help" || verb == "help")
        return { 0, programHelp(), {} };
    if (verb == "--version")
        return { 0, versionText(c_program) + '\n', {} };
    if (verb.starts_with('-'))
        return checkSettings(arguments);
    std::vector<std::string> names;
    for (const Command* const command : allCommands()) {
        if (command->help().m_name == verb)
            return runVerb(*command, arguments);
        names.emplace_back(command->help().m_name);
    }
    return fail(CommandStatus::BadInput,
        fmt::format("unknown verb \"{}\"; {}; see \"{} --help\"", verb, allowedNamesText(verb, names), c_program));
}

} // namespace cuminrelay::operators
