#pragma once

#include "base/Time.h"

#include <boost/json/array.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay::standins {

/// What is known of one flow when it breaks.
struct FlowTrace {
    Instant m_opened {};
    Instant m_progress {}; ///< when its last packet arrived, or m_opened
    std::string m_host; ///< of the first answer; empty before it
};

/// What happened from one mark to the next. Flows are told apart by their age at the mark.
struct FaultReport {
    std::string m_name;
    Instant m_at {};
    std::int64_t m_unixMs = 0;
    std::uint64_t m_established = 0; ///< flows that were open for more than 2 s at the mark
    std::uint64_t m_younger = 0; ///< open for less, or opened before the next mark
    std::uint64_t m_establishedBroken = 0;
    std::uint64_t m_youngerBroken = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_misrouted = 0;
    std::uint64_t m_incompleteAnswers = 0;
    std::uint64_t m_runTwice = 0;
    std::uint64_t m_refusedButRun = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_brokenByHost; ///< under "" those without an answer yet
};

/// Splits what callers see by faults: each fault is noted by a mark when it strikes. Before the first mark there is one
/// named "start".
class FaultMarks {
public:
    FaultMarks();

    void mark(std::string_view name, Instant now, std::int64_t unixMs);

    void flowOpened(Instant now);
    void flowEnded(const FlowTrace& trace);

    /// A flow that somebody ended too early broke now.
    void flowCut(const FlowTrace& trace, Instant now);

    /// A flow that went silent broke when its packets stopped, which the caller notices much later.
    void flowTimedOut(const FlowTrace& trace);

    /// The last mark.
    FaultReport& current() { return m_faults.back(); }

    /// The last mark that was set before that time of day.
    FaultReport& at(std::int64_t unixMs);

    const std::vector<FaultReport>& faults() const { return m_faults; }
    boost::json::array json() const;

private:
    void countBroken(const FlowTrace& trace, Instant brokeAt);

    std::vector<FaultReport> m_faults; ///< never empty, in order of time
    std::multiset<Instant> m_open; ///< when each open flow was opened
};

} // namespace cuminrelay::standins
