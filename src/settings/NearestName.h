#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cuminrelay {

/// The candidate with the smallest edit distance to the name. Empty if each distance is more than two and more than a
/// third of the length of the name, or not less than that length.
std::string_view nearestName(std::string_view name, std::span<const std::string> candidates);

/// Suggestion for an unknown name: `did you mean "nearest"?`, or the sorted list of candidates.
std::string allowedNamesText(std::string_view name, std::span<const std::string> candidates);

} // namespace cuminrelay
