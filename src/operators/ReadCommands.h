#pragma once

#include "operators/Command.h"

namespace cuminrelay::operators {

/// Shows the declared hosts, services or zones.
class GetCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Shows edits and their authors.
class HistoryCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Shows the deployment as last reported by the zone readers.
class StatusCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

} // namespace cuminrelay::operators
