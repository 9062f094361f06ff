#pragma once

#include "trace/LogLine.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

struct FlowTimeline {
    std::vector<LogLine> m_lines; ///< sorted by time: the flow's own lines and related ones
    std::vector<std::string> m_findings; ///< sentences, the conclusion last; never empty
};

/// Builds the timeline of a flow, "caller>service", from the logs of several VMs. Adds lines on the state of its
/// backend servers, and on starts, stops, pauses and store connections of the VMs that logged it, from shortly before
/// its first line to shortly after its last. Lines of different VMs may be misordered by milliseconds, or by seconds
/// after a clock jumped.
FlowTimeline buildFlowTimeline(std::string_view flow, std::span<const LogLine> lines);

} // namespace cuminrelay
