#pragma once

#include "operators/Command.h"

namespace cuminrelay::operators {

/// Shows what is declared.
class GetCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Shows who changed what.
class HistoryCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Shows the deployment as the zone readers last saw it.
class StatusCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

} // namespace cuminrelay::operators
