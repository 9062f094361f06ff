#pragma once

#include "base/Error.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrelay {

using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Fields of a log line that the timeline of a flow needs.
struct LogLine {
    std::string m_source; ///< VM that wrote the line: the name before the JSON object, else the file name
    LogTime m_time {}; ///< by that VM's clock
    std::string m_event;
    std::string m_flow; ///< "caller>service"; empty if the line has no flow
    std::string m_backend; ///< empty if the line has no backend server
    std::string m_outcome; ///< of flow_turned_away
    std::string m_reason; ///< of flow_turned_away
    std::string m_state; ///< of backend_life and backend_changed
    std::string m_cause; ///< of flow_placed
    std::string m_details; ///< all fields but time, level, slice and event, as "name=value"
};

/// Parses a line. The last word before the JSON object, such as a host name that a log collector added, becomes the
/// source. Errors: InvalidInput if there is no JSON object with a time and an event.
Outcome<LogLine> parseLogLine(std::string_view text, std::string_view fileName);

/// The time of day in UTC, such as "17:05:04.123".
std::string timeText(LogTime time);

} // namespace cuminrelay
