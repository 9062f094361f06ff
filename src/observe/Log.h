#pragma once

#include "base/Time.h"
#include "observe/LogSink.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace cuminrelay {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// Names of the levels in log lines and settings, indexed by level.
inline constexpr std::array<std::string_view, 4> c_logLevelNames { "debug", "info", "warning", "error" };

/// A named value in a log line. Holds views of the texts.
struct LogField {
    std::string_view m_name;
    std::variant<std::int64_t, double, std::string_view> m_value;

    LogField(std::string_view name, std::string_view value);
    LogField(std::string_view name, const char* value);
    LogField(std::string_view name, const std::string& value);
    LogField(std::string_view name, double value);

    template <std::integral T>
    LogField(std::string_view name, T value)
        : m_name(name)
        , m_value(static_cast<std::int64_t>(value))
    {
    }
};

/// Writes one JSON object per line: time, level, slice (source folder), event, fields. The lines of each event are
/// limited per second, so that a fault cannot flood the log. The event's first line in a later second has the number of
/// suppressed lines in the field "suppressed". Thread-safe.
class Log {
public:
    /// Maximum number of lines of one event per second.
    static constexpr unsigned s_linesPerWindow = 100;

    /// Writes to standard error.
    explicit Log(LogLevel minimum = LogLevel::Info);

    /// Writes to output. The clock is used only to limit the rate. Both must outlive the log.
    Log(LogLevel minimum, const Clock& clock, LogSink& output);

    void write(
        LogLevel level, std::string_view slice, std::string_view event, std::initializer_list<LogField> fields = {});

    void debug(std::string_view slice, std::string_view event, std::initializer_list<LogField> fields = {});
    void info(std::string_view slice, std::string_view event, std::initializer_list<LogField> fields = {});
    void warning(std::string_view slice, std::string_view event, std::initializer_list<LogField> fields = {});
    void error(std::string_view slice, std::string_view event, std::initializer_list<LogField> fields = {});

private:
    struct LineQuota {
        Deadline m_windowEnd {};
        unsigned m_written = 0;
        std::uint64_t m_suppressed = 0;
    };

    std::mutex m_mutex;
    LogLevel m_minimum;
    const Clock& m_clock;
    LogSink& m_output;
    std::map<std::string, LineQuota, std::less<>> m_lineQuotas;
};

/// Appends text as a quoted JSON string. Invalid UTF-8 is replaced by the replacement character (U+FFFD).
void appendJsonString(std::string& out, std::string_view text);

} // namespace cuminrelay
