#include "status/MetricsPage.h"

#include <charconv>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    std::string keyOf(std::string_view name, std::string_view label)
    {
        return label.empty() ? std::string { name } : fmt::format("{} {}", name, label);
    }

    /// The quoted value of {label="value"}; empty if there is none.
    std::string_view labelIn(std::string_view braces)
    {
        const std::size_t begin = braces.find('"');
        const std::size_t end = braces.rfind('"');
        return begin < end ? braces.substr(begin + 1, end - begin - 1) : std::string_view {};
    }

} // namespace

MetricsPage::MetricsPage(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        parseLine(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
    }
}

void MetricsPage::parseLine(std::string_view line)
{
    const std::size_t space = line.rfind(' ');
    if (line.empty() || line.front() == '#' || space == std::string_view::npos)
        return;
    const std::string_view digits = line.substr(space + 1);
    double value = 0;
    const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != digits.data() + digits.size())
        return;
    const std::string_view sample = line.substr(0, space);
    const std::size_t brace = sample.find('{');
    const std::string_view label
        = brace == std::string_view::npos ? std::string_view {} : labelIn(sample.substr(brace));
    m_values[keyOf(sample.substr(0, brace), label)] = value;
}

std::optional<double> MetricsPage::find(std::string_view name, std::string_view label) const
{
    const auto found = m_values.find(keyOf(name, label));
    return found != m_values.end() ? std::optional { found->second } : std::nullopt;
}

std::map<std::string, double> MetricsPage::findAll(std::string_view name) const
{
    const std::string prefix = fmt::format("{} ", name);
    std::map<std::string, double> values;
    for (auto sample = m_values.lower_bound(prefix); sample != m_values.end() && sample->first.starts_with(prefix);
         ++sample)
        values.emplace(sample->first.substr(prefix.size()), sample->second);
    return values;
}

} // namespace cuminrelay
