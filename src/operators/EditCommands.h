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

/// Begins ("drain") or ends ("undrain") the draining of hosts.
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

/// Shows what apply would change, and changes nothing.
class DiffCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Checks a declarations file by itself, without the platform.
class CheckCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

/// Makes the configuration state what a declarations file states.
class ApplyCommand final : public Command {
public:
    VerbHelp help() const override;
    boost::asio::awaitable<Outcome<CommandResult>> run(CommandContext& context) const override;
};

} // namespace cuminrelay::operators
