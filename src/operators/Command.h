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

/// Exit statuses of cuminrelayctl. The values are part of its interface and do not change.
enum class CommandStatus : int {
    Success = 0,
    NotAchieved = 1, ///< no error, but the requested condition does not hold
    BadInput = 2, ///< invalid command line, settings, file or name; nothing was changed
    Conflict = 3, ///< another edit changed the same objects, or the store was restored; nothing was changed
    Unavailable = 4, ///< platform unavailable, or the outcome of a write is unknown
};

CommandStatus statusOf(ErrorKind kind);

/// Arguments and options; each verb accepts some of them.
struct CommandOptions {
    std::vector<std::string> m_arguments; ///< positional arguments after the verb
    std::string m_file;
    std::string m_selector;
    std::string m_protocol = "tcp";
    std::string m_editId; ///< edit to show
    bool m_forced = false;
    std::optional<std::uint64_t> m_base; ///< edit only objects unchanged since this version
    std::size_t m_limit = 20;
};

struct CommandContext {
    PlatformClient& m_platform;
    const Clock& m_clock;
    CommandOptions m_options;
    std::string m_author;
    std::string m_commandLine; ///< as typed; stored in the history
    std::string m_editId; ///< of this run's edit
    std::int64_t m_unixMs = 0; ///< wall-clock time at the start
    Deadline m_deadline {}; ///< end of --timeout
};

/// Result of a verb; both forms have the same content.
struct CommandResult {
    CommandStatus m_status = CommandStatus::Success;
    boost::json::value m_json;
    std::string m_text;
};

enum class VerbOption : std::uint8_t {
    File,
    Force,
    Base,
    Selector,
    Protocol,
    Limit,
    EditId,
};

struct VerbHelp {
    std::string_view m_name;
    std::string_view m_usage; ///< arguments, after the name
    std::string_view m_summary;
    std::string_view m_example;
    std::vector<VerbOption> m_options;
};

/// One verb of cuminrelayctl. Each run is one coroutine: read, decide, write, report.
class Command {
public:
    Command() = default;
    Command(const Command&) = delete;
    Command& operator=(const Command&) = delete;
    virtual ~Command() = default;

    virtual VerbHelp help() const = 0;

    /// The context must outlive the task.
    virtual boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const = 0;
};

/// All verbs, in the order of the help text.
std::span<const Command* const> allCommands();

} // namespace cuminrelay::operators
