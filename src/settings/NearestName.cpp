#include "settings/NearestName.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <vector>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_maximumComparedBytes = 64;

    /// Levenshtein distance, computed row by row.
    std::size_t editDistance(std::string_view from, std::string_view to)
    {
        std::vector<std::size_t> row(to.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 1; i <= from.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= to.size(); ++j) {
                const std::size_t replaced = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
            }
        }
        return row[to.size()];
    }

} // namespace

std::string_view nearestName(std::string_view name, std::span<const std::string> candidates)
{
    const std::string_view compared = name.substr(0, c_maximumComparedBytes);
    std::string_view nearest;
    std::size_t nearestDistance = std::min(compared.size(), std::max<std::size_t>(compared.size() / 3, 2) + 1);
    for (const std::string& candidate : candidates) {
        const std::size_t distance = editDistance(compared, candidate);
        if (distance < nearestDistance) {
            nearest = candidate;
            nearestDistance = distance;
        }
    }
    return nearest;
}

std::string allowedNamesText(std::string_view name, std::span<const std::string> candidates)
{
    const std::string_view nearest = nearestName(name, candidates);
    if (!nearest.empty())
        return fmt::format("did you mean \"{}\"?", nearest);
    std::vector<std::string> sorted { candidates.begin(), candidates.end() };
    std::ranges::sort(sorted);
    return fmt::format("{}", fmt::join(sorted, ", "));
}

} // namespace cuminrelay
