#pragma once

#include <set>
#include <string>
#include <string_view>

namespace cuminrelay {

/// The names of the runs that a list of known failures contains for a command. Entries of the list, KNOWN-RED.txt, are
/// lines "COMMAND | RUN | WHAT WAS SEEN | ISSUE"; other lines are prose.
std::set<std::string, std::less<>> findKnownRuns(std::string_view list, std::string_view command);

} // namespace cuminrelay
