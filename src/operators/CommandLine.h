#pragma once

#include "operators/Command.h"

#include <span>
#include <string>

namespace cuminrelay::operators {

/// What a run of cuminrelayctl prints and how it ends.
struct CommandLineResult {
    int m_status = 0;
    std::string m_output;
    std::string m_errors;
};

/// Runs cuminrelayctl: finds the verb, reads the settings, runs the verb against the platform until it is done or
/// --timeout has passed. arguments: without the program's own name.
CommandLineResult runCommandLine(std::span<const std::string> arguments);

} // namespace cuminrelay::operators
