#pragma once

#include "trace/LogLine.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Timeline of one flow, from the logs of several VMs.
struct FlowTimeline {
    std::vector<LogLine> m_lines; ///< by time: the flow's own lines and related ones
    std::vector<std::string> m_findings; ///< sentences, the conclusion last; never empty
};

/// Builds the timeline of a flow, "caller>service". Adds lines on the state of its backend servers, and on starts,
/// stops, pauses and store connections of the VMs that logged it, from shortly before its first line to shortly after
/// its last. The VMs' clocks may differ by some milliseconds, or by seconds after a clock jumped.
FlowTimeline buildFlowTimeline(std::string_view flow, std::span<const LogLine> lines);

} // namespace cuminrelay
