#include "operators/Command.h"

#include "operators/EditCommands.h"
#include "operators/ExplainCommand.h"
#include "operators/ReadCommands.h"
#include "operators/WaitCommand.h"

#include <array>

namespace cuminrelay::operators {

CommandStatus statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
    case ErrorKind::NotFound:
    case ErrorKind::Unauthorized:
        return CommandStatus::BadInput;
    case ErrorKind::Conflict:
        return CommandStatus::Conflict;
    case ErrorKind::Unavailable:
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::Stale:
    case ErrorKind::Exhausted:
        return CommandStatus::Unavailable;
    }
    return CommandStatus::NotAchieved;
}

std::span<const Command* const> allCommands()
{
    static const LabelCommand s_label;
    static const SelectCommand s_select;
    static const DrainCommand s_drain { true };
    static const DrainCommand s_undrain { false };
    static const CheckCommand s_check;
    static const DiffCommand s_diff;
    static const ApplyCommand s_apply;
    static const GetCommand s_get;
    static const HistoryCommand s_history;
    static const StatusCommand s_status;
    static const WaitCommand s_wait;
    static const ExplainCommand s_explain;
    static const std::array<const Command*, 12> s_commands { &s_label, &s_select, &s_drain, &s_undrain, &s_check,
        &s_diff, &s_apply, &s_get, &s_history, &s_status, &s_wait, &s_explain };
    return s_commands;
}

} // namespace cuminrelay::operators
