#pragma once

#include "base/Error.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrelay {

using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// One line of a process's log, as far as the story of a flow needs it.
struct LogLine {
    std::string m_source; ///< which VM wrote it: the name before the JSON object, or else the file's
    LogTime m_time {}; ///< by that VM's time of day
    std::string m_event;
    std::string m_flow; ///< "caller>service"; empty when it is about no flow
    std::string m_backend; ///< empty when it names none
    std::string m_outcome; ///< of flow_turned_away
    std::string m_reason; ///< likewise
    std::string m_state; ///< of backend_life and backend_changed
    std::string m_cause; ///< of flow_placed
    std::string m_details; ///< all fields but time, level, slice and event, as "name=value"
};

/// Reads a line. What stands before the JSON object, such as a time and a name that a collector has put there, may
/// name the source by its last word. Errors: InvalidInput for what is no line of ours.
Outcome<LogLine> parseLogLine(std::string_view text, std::string_view fileName);

/// "17:05:04.123".
std::string timeText(LogTime time);

} // namespace cuminrelay
