#pragma once

#include "operators/Command.h"

namespace cuminrelay::operators {

/// Waits until a configuration version is in force on every live entry VM.
class WaitCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

} // namespace cuminrelay::operators
