#include "bench/KnownRuns.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr std::string_view c_separator = " | ";

    /// Removes the text up to and including the separator, or all if there is none. Returns it without the separator.
    std::string_view takeUntil(std::string_view& text, std::string_view separator)
    {
        const std::size_t end = std::min(text.find(separator), text.size());
        const std::string_view head = text.substr(0, end);
        text.remove_prefix(std::min(end + separator.size(), text.size()));
        return head;
    }

} // namespace

std::set<std::string, std::less<>> findKnownRuns(std::string_view list, std::string_view command)
{
    std::set<std::string, std::less<>> runs;
    while (!list.empty()) {
        std::string_view line = takeUntil(list, "\n");
        if (takeUntil(line, c_separator) == command)
            runs.emplace(takeUntil(line, c_separator));
    }
    return runs;
}

} // namespace cuminrelay
