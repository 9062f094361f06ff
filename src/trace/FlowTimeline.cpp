#include "trace/FlowTimeline.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <set>

namespace cuminrelay {

namespace {

    /// Related lines are included from this long before the first line of a flow until this long after its last.
    constexpr std::chrono::seconds c_windowBefore { 10 };
    constexpr std::chrono::seconds c_windowAfter { 5 };

    constexpr std::array<std::string_view, 9> c_processEvents { "started", "stopping", "stopped", "paused", "readiness",
        "store_lost", "store_regained", "declarations_taken", "flows_reset" };

    bool isProcessEvent(std::string_view event)
    {
        return std::find(c_processEvents.begin(), c_processEvents.end(), event) != c_processEvents.end();
    }

    /// VMs, backend servers and times in the lines of one flow.
    struct FlowScope {
        std::set<std::string, std::less<>> m_sources;
        std::set<std::string, std::less<>> m_backends;
        LogTime m_first = LogTime::max();
        LogTime m_last = LogTime::min();
    };

    FlowScope findFlowScope(std::string_view flow, std::span<const LogLine> lines)
    {
        FlowScope scope;
        for (const LogLine& line : lines) {
            if (line.m_flow != flow)
                continue;
            scope.m_sources.insert(line.m_source);
            if (!line.m_backend.empty())
                scope.m_backends.insert(line.m_backend);
            scope.m_first = std::min(scope.m_first, line.m_time);
            scope.m_last = std::max(scope.m_last, line.m_time);
        }
        return scope;
    }

    /// Describes an event that may have affected the flow; empty for other lines.
    std::string findingOf(const LogLine& line, std::string_view flow)
    {
        const std::string where = fmt::format("{} at {}", line.m_source, timeText(line.m_time));
        if (line.m_event == "flow_placed" && line.m_flow == flow)
            return fmt::format("{} sent the opening to {} ({})", where, line.m_backend, line.m_cause);
        if (line.m_event == "flow_turned_away" && line.m_flow == flow)
            return fmt::format("{}: {}, because {} ({})", where, line.m_outcome, line.m_reason, line.m_details);
        if (line.m_event == "backend_life" && line.m_state != "answers")
            return fmt::format("{}: {} was found {}", where, line.m_backend, line.m_state);
        if (line.m_event == "backend_changed" && line.m_state != "ready")
            return fmt::format("{}: {} is {}", where, line.m_backend, line.m_state);
        if (line.m_event == "paused" || line.m_event == "stopping" || line.m_event == "store_lost")
            return fmt::format("{}: {} ({})", where, line.m_event, line.m_details);
        return {};
    }

    /// Finds VMs that started again without a "stopping" line: they were killed, and lost the packets in flight.
    std::vector<std::string> findKilled(std::span<const LogLine> sorted)
    {
        std::vector<std::string> findings;
        std::set<std::string, std::less<>> running;
        for (const LogLine& line : sorted) {
            if (line.m_event == "started" && !running.insert(line.m_source).second)
                findings.push_back(fmt::format(
                    "{} was killed some time before it started again at {}", line.m_source, timeText(line.m_time)));
            else if (line.m_event == "stopping")
                running.erase(line.m_source);
            else
                running.insert(line.m_source);
        }
        return findings;
    }

} // namespace

FlowTimeline buildFlowTimeline(std::string_view flow, std::span<const LogLine> lines)
{
    std::vector<LogLine> sorted { lines.begin(), lines.end() };
    std::stable_sort(sorted.begin(), sorted.end(),
        [](const LogLine& left, const LogLine& right) { return left.m_time < right.m_time; });
    const FlowScope scope = findFlowScope(flow, sorted);
    FlowTimeline timeline;
    if (scope.m_sources.empty()) {
        timeline.m_findings = findKilled(sorted);
        timeline.m_findings.emplace_back(
            "no VM logged this flow: its opening packet reached none of them, or its lines were left out");
        return timeline;
    }
    for (const LogLine& line : sorted) {
        const bool isInWindow
            = line.m_time >= scope.m_first - c_windowBefore && line.m_time <= scope.m_last + c_windowAfter;
        const bool isOfBackend = line.m_flow.empty() && line.m_state != "ready" // ready is the normal state
            && scope.m_backends.contains(line.m_backend);
        const bool isOfProcess = isProcessEvent(line.m_event) && scope.m_sources.contains(line.m_source);
        if (line.m_flow == flow || (isInWindow && (isOfBackend || isOfProcess)))
            timeline.m_lines.push_back(line);
    }
    for (const LogLine& line : timeline.m_lines) {
        std::string finding = findingOf(line, flow);
        if (!finding.empty())
            timeline.m_findings.push_back(std::move(finding));
    }
    const bool wasRejected = std::any_of(timeline.m_lines.begin(), timeline.m_lines.end(),
        [&](const LogLine& line) { return line.m_flow == flow && line.m_event == "flow_turned_away"; });
    if (!wasRejected)
        timeline.m_findings.emplace_back("no VM refused, dropped or reset it: it was ended at its backend server, "
                                         "or on the network path to it");
    return timeline;
}

} // namespace cuminrelay
