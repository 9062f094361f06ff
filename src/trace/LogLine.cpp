#include "trace/LogLine.h"

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    using Milliseconds = std::chrono::milliseconds;

    std::string textOf(const boost::json::object& line, std::string_view name)
    {
        const boost::json::value* const value = line.if_contains(name);
        return value && value->is_string() ? std::string { value->get_string() } : std::string {};
    }

    /// The last word before the JSON object, or the file name if there is none.
    std::string sourceOf(std::string_view prefix, std::string_view fileName)
    {
        constexpr std::string_view separators = " \t|:";
        const std::size_t end = prefix.find_last_not_of(separators);
        if (end == std::string_view::npos)
            return std::string { fileName };
        const std::size_t before = prefix.find_last_of(separators, end);
        const std::size_t begin = before == std::string_view::npos ? 0 : before + 1;
        return std::string { prefix.substr(begin, end + 1 - begin) };
    }

    /// Parses "2026-12-04T17:05:04.123Z".
    std::optional<LogTime> parseTime(const std::string& text)
    {
        std::tm parts {};
        const char* const rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
        if (!rest || *rest != '.')
            return std::nullopt;
        const long millis = std::strtol(rest + 1, nullptr, 10);
        return LogTime { std::chrono::seconds { timegm(&parts) } + Milliseconds { millis } };
    }

    std::string detailsOf(const boost::json::object& line)
    {
        constexpr std::array<std::string_view, 4> shownElsewhere { "time", "level", "slice", "event" };
        std::string details;
        for (const auto& [name, value] : line) {
            if (std::find(shownElsewhere.begin(), shownElsewhere.end(), std::string_view { name })
                != shownElsewhere.end())
                continue;
            const std::string text
                = value.is_string() ? std::string { value.get_string() } : boost::json::serialize(value);
            details += fmt::format("{}{}={}", details.empty() ? "" : " ", std::string_view { name }, text);
        }
        return details;
    }

} // namespace

Outcome<LogLine> parseLogLine(std::string_view text, std::string_view fileName)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string_view::npos)
        return Error { ErrorKind::InvalidInput, "no JSON object" };
    boost::system::error_code failure;
    const boost::json::value value = boost::json::parse(text.substr(begin), failure);
    if (failure || !value.is_object())
        return Error { ErrorKind::InvalidInput, "no JSON object" };
    const boost::json::object& object = value.get_object();
    const std::optional<LogTime> time = parseTime(textOf(object, "time"));
    LogLine line;
    line.m_event = textOf(object, "event");
    if (!time || line.m_event.empty())
        return Error { ErrorKind::InvalidInput, "no time or no event" };
    line.m_source = sourceOf(text.substr(0, begin), fileName);
    line.m_time = *time;
    line.m_flow = textOf(object, "flow");
    line.m_backend = textOf(object, "backend");
    line.m_outcome = textOf(object, "outcome");
    line.m_reason = textOf(object, "reason");
    line.m_state = textOf(object, "state");
    line.m_cause = textOf(object, "cause");
    line.m_details = detailsOf(object);
    return line;
}

std::string timeText(LogTime time)
{
    const std::int64_t millis = time.time_since_epoch().count() % 1'000;
    return fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(std::chrono::system_clock::to_time_t(time)), millis);
}

} // namespace cuminrelay
