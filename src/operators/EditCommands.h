#pragma once

#include "operators/Command.h"

namespace cuminrelay::operators {

/// Sets and removes labels of one host or service.
class LabelCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Sets the selector of a service.
class SelectCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Starts ("drain") or stops ("undrain") draining hosts.
class DrainCommand final : public Command {
public:
    explicit DrainCommand(bool draining)
        : m_draining(draining)
    {
    }

    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;

private:
    bool m_draining;
};

/// Shows what apply would change.
class DiffCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Checks a declarations file without access to the platform.
class CheckCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Brings the configuration to the state that a declarations file declares.
class ApplyCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

} // namespace cuminrelay::operators
