#pragma once

#include "operators/Command.h"

namespace cuminrelay::operators {

/// Explains why a host gets new flows or not, or shows the owner and the default host of a flow.
class ExplainCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

} // namespace cuminrelay::operators
