#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "objectapi/PlatformClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay::operators {

/// The exit statuses of cuminrelayctl. They are part of its interface and do not change.
enum class CommandStatus : int {
    Success = 0,
    NotAchieved = 1, ///< nothing was wrong, but what was asked for is not so
    BadInput = 2, ///< command line, settings, file or names are wrong; nothing was changed
    Conflict = 3, ///< somebody else changed the same things; nothing was changed
    Unavailable = 4, ///< the platform is not available, or a write's outcome is unknown
};

CommandStatus statusOf(ErrorKind kind);

/// What the command line says, for all verbs; each verb accepts some of it.
struct CommandOptions {
    std::vector<std::string> m_words; ///< after the verb
    std::string m_file;
    std::string m_selector;
    std::string m_protocol = "tcp";
    std::string m_editId;
    bool m_forced = false;
    std::optional<std::uint64_t> m_base;
    std::size_t m_limit = 20;
};

/// What a verb works with.
struct CommandContext {
    PlatformClient& m_platform;
    const Clock& m_clock;
    CommandOptions m_options;
    std::string m_author;
    std::string m_commandLine; ///< as the operator typed it; kept in the history
    std::string m_editId; ///< unique to this run
    std::int64_t m_unixMs = 0; ///< wall-clock time at the start
    Deadline m_deadline {};
};

/// What a verb has to say: the same for people and for programs.
struct CommandResult {
    CommandStatus m_status = CommandStatus::Success;
    boost::json::value m_json;
    std::string m_text;
};

/// The options that a verb takes besides those that all take.
enum class VerbOption : std::uint8_t {
    File,
    Force,
    Base,
    Selector,
    Protocol,
    Limit,
    EditId,
};

/// How a verb is used, for --help.
struct VerbHelp {
    std::string_view m_name;
    std::string_view m_usage; ///< its words, after the name
    std::string_view m_summary;
    std::string_view m_example;
    std::vector<VerbOption> m_options;
};

/// One verb of cuminrelayctl. A run is one task, written straight down: read, decide, write, report.
class Command {
public:
    Command() = default;
    Command(const Command&) = delete;
    Command& operator=(const Command&) = delete;
    virtual ~Command() = default;

    virtual VerbHelp help() const = 0;

    /// Does it. The context outlives the task.
    virtual boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const = 0;
};

/// All verbs, in the order of the help text.
std::span<const Command* const> allCommands();

} // namespace cuminrelay::operators
