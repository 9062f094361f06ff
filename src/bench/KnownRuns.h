#pragma once

#include <set>
#include <string>
#include <string_view>

namespace cuminrelay {

/// The names of the runs that a list of known failures has for a command. Each line of the list, KNOWN-RED.txt, is
/// "COMMAND | RUN | WHAT WAS SEEN | ISSUE"; all others are prose.
std::set<std::string, std::less<>> findKnownRuns(std::string_view list, std::string_view command);

} // namespace cuminrelay
