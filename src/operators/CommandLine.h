#pragma once

#include "operators/Command.h"

#include <span>
#include <string>

namespace cuminrelay::operators {

struct CommandLineResult {
    int m_status = 0;
    std::string m_output;
    std::string m_errors;
};

/// Finds the verb, reads the settings, and runs the verb against the platform until it finishes or --timeout expires.
/// arguments: without the program name.
CommandLineResult runCommandLine(std::span<const std::string> arguments);

} // namespace cuminrelay::operators
