#pragma once

#include "trace/LogLine.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// What became of one flow, from the logs of several VMs.
struct FlowStory {
    std::vector<LogLine> m_lines; ///< in order of time: the flow's own, and those that bear on it
    std::vector<std::string> m_findings; ///< sentences, the decisive one last; never empty
};

/// Tells the story of a flow, "caller>service". Besides its own lines it takes those on the life of the backend servers
/// that they name, and those on starts, stops, pauses and the store of the VMs that wrote them, from shortly before to
/// shortly after. VMs' times of day may differ by some milliseconds, or by seconds when a clock jumped.
FlowStory tellFlowStory(std::string_view flow, std::span<const LogLine> lines);

} // namespace cuminrelay
