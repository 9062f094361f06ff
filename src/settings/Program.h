#pragma once

#include "settings/SettingsReader.h"

#include <boost/program_options/options_description.hpp>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// The exit statuses that all programs share.
enum class ExitStatus : int {
    Success = 0,
    Failure = 1, ///< what was asked for did not succeed
    BadInput = 2, ///< command line or settings are wrong; nothing was done
};

/// Parses the command line of main into the values that the description names. Errors: InvalidInput.
Outcome<void> parseCommandLine(
    std::span<char* const> arguments, const boost::program_options::options_description& description);

/// The same for a program that also takes words: those that are no options, in order.
Outcome<void> parseCommandLine(std::span<char* const> arguments,
    const boost::program_options::options_description& description, std::vector<std::string>& words);

/// "name 0.1.0 (build abc123, RelWithDebInfo, g++ 12.2.0)", as --version prints it.
std::string versionText(std::string_view name);

/// What every daemon's main function does the same way: parses --config FILE, --check, --version and --help with
/// Boost.Program_options, loads the settings, reads them with `read`, prints problems one a line to standard error
/// (status 2), prints the effective settings for --check, and otherwise runs `run`. arguments are those of main,
/// the program's own name first.
///
/// read: calls the getters for all keys of the program. run: the program itself; returns its exit status.
int runProgram(std::span<char* const> arguments, std::string_view name, std::string_view description,
    const std::function<void(SettingsReader&)>& read, const std::function<ExitStatus()>& run);

} // namespace cuminrelay
