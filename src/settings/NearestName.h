#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cuminrelay {

/// The known name with the smallest edit distance to the given one, or an empty view when none is near: more than two
/// letters and more than a third of them differ.
std::string_view nearestName(std::string_view name, std::span<const std::string> known);

/// What to use in place of an unknown name: `did you mean "nearest"?`, or the list of the known ones.
std::string allowedNamesText(std::string_view name, std::span<const std::string> known);

} // namespace cuminrelay
