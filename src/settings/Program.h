#pragma once

#include "settings/SettingsReader.h"

#include <boost/program_options/options_description.hpp>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Exit statuses of all programs.
enum class ExitStatus : int {
    Success = 0,
    Failure = 1, ///< the requested operation failed
    BadInput = 2, ///< invalid command line or settings; the program did not run
};

/// Parses the arguments of main into the variables bound to the description. Errors: InvalidInput.
Outcome<void> parseCommandLine(
    std::span<char* const> arguments, const boost::program_options::options_description& description);

/// As above, and stores the positional arguments in order.
Outcome<void> parseCommandLine(std::span<char* const> arguments,
    const boost::program_options::options_description& description, std::vector<std::string>& positionalArguments);

/// "name 0.1.0 (build abc123, RelWithDebInfo, g++ 12.2.0)", as --version prints it.
std::string versionText(std::string_view name);

/// Common main function of the daemons. Parses --config FILE, --check, --version and --help, loads the settings and
/// reads them with `read`. Prints problems to standard error, one per line, and returns status 2. With --check, prints
/// the effective settings; otherwise calls `run`.
///
/// arguments: those of main. name, description: printed by --help. read: calls the getters for all keys of the program.
/// run: runs the program and returns its exit status.
int runProgram(std::span<char* const> arguments, std::string_view name, std::string_view description,
    const std::function<void(SettingsReader&)>& read, const std::function<ExitStatus()>& run);

} // namespace cuminrelay
