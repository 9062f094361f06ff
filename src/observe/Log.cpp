#include "observe/Log.h"

#include <boost/nowide/utf/utf.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    constexpr Duration c_window = std::chrono::seconds { 1 };
    constexpr char c_firstPrintable = 0x20;
    constexpr std::string_view c_replacementCharacter = "\\ufffd";

    const Clock& systemClock()
    {
        static const SystemClock s_clock;
        return s_clock;
    }

    LogSink& standardError()
    {
        static StreamSink sink { *stderr };
        return sink;
    }

    void appendField(std::string& line, const LogField& field)
    {
        line += ',';
        appendJsonString(line, field.m_name);
        line += ':';
        if (const std::int64_t* const number = std::get_if<std::int64_t>(&field.m_value))
            line += fmt::format("{}", *number);
        else if (const double* const real = std::get_if<double>(&field.m_value))
            line += fmt::format("{}", *real);
        else
            appendJsonString(line, std::get<std::string_view>(field.m_value));
    }

} // namespace

LogField::LogField(std::string_view name, std::string_view value)
    : m_name(name)
    , m_value(value)
{
}

LogField::LogField(std::string_view name, const char* value)
    : LogField(name, std::string_view { value })
{
}

LogField::LogField(std::string_view name, const std::string& value)
    : LogField(name, std::string_view { value })
{
}

LogField::LogField(std::string_view name, double value)
    : m_name(name)
    , m_value(value)
{
}

void appendJsonString(std::string& out, std::string_view text)
{
    namespace utf = boost::nowide::utf;
    out += '"';
    const char* const end = text.data() + text.size();
    for (const char* position = text.data(); position != end;) {
        const char* const character = position;
        const utf::code_point point = utf::utf_traits<char>::decode(position, end);
        if (point == utf::illegal || point == utf::incomplete)
            out += c_replacementCharacter;
        else if (point == '"' || point == '\\')
            out.append({ '\\', *character });
        else if (point < c_firstPrintable)
            out += fmt::format("\\u{:04x}", point);
        else
            out.append(character, position);
    }
    out += '"';
}

Log::Log(LogLevel minimum)
    : Log(minimum, systemClock(), standardError())
{
}

Log::Log(LogLevel minimum, const Clock& clock, LogSink& output)
    : m_minimum(minimum)
    , m_clock(clock)
    , m_output(output)
{
}

void Log::write(LogLevel level, std::string_view slice, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < m_minimum)
        return;
    const std::lock_guard<std::mutex> lock { m_mutex };
    const Instant now = m_clock.now();
    auto found = m_lineQuotas.find(event);
    if (found == m_lineQuotas.end())
        found = m_lineQuotas.emplace(std::string { event }, LineQuota {}).first;
    LineQuota& quota = found->second;
    std::uint64_t suppressed = 0;
    if (now >= quota.m_windowEnd) {
        suppressed = quota.m_suppressed;
        quota = LineQuota { now + c_window, 0, 0 };
    }
    if (quota.m_written >= s_linesPerWindow) {
        ++quota.m_suppressed;
        return;
    }
    ++quota.m_written;

    const std::chrono::sys_time<std::chrono::milliseconds> wall
        = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const std::int64_t millis = wall.time_since_epoch().count() % 1000;
    std::string line = fmt::format("{{\"time\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\",\"level\":\"{}\",\"slice\":",
        fmt::gmtime(std::chrono::system_clock::to_time_t(wall)), millis,
        c_logLevelNames[static_cast<std::size_t>(level)]);
    appendJsonString(line, slice);
    line += ",\"event\":";
    appendJsonString(line, event);
    for (const LogField& field : fields)
        appendField(line, field);
    if (suppressed > 0)
        appendField(line, LogField { "suppressed", suppressed });
    line += "}\n";
    m_output.write(line);
}

void Log::debug(std::string_view slice, std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Debug, slice, event, fields);
}

void Log::info(std::string_view slice, std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Info, slice, event, fields);
}

void Log::warning(std::string_view slice, std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Warning, slice, event, fields);
}

void Log::error(std::string_view slice, std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Error, slice, event, fields);
}

} // namespace cuminrelay
