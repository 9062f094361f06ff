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

/// The times and the host of a flow, to count its break by fault and host.
struct FlowTrace {
    Instant m_openedAt {};
    Instant m_lastPacketAt {}; ///< arrival of the last packet, or m_openedAt
    std::string m_host; ///< sender of the first answer; empty before
};

/// Counts from the injection of one fault until the next. Flows are counted by their age at the injection.
struct FaultReport {
    std::string m_name;
    Instant m_injectedAt {};
    std::int64_t m_injectedUnixMs = 0;
    std::uint64_t m_established = 0; ///< open for more than 2 s at the injection
    std::uint64_t m_younger = 0; ///< open for less, or opened between this fault and the next
    std::uint64_t m_establishedBroken = 0;
    std::uint64_t m_youngerBroken = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_misrouted = 0;
    std::uint64_t m_incompleteAnswers = 0;
    std::uint64_t m_runTwice = 0;
    std::uint64_t m_refusedButRun = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_brokenByHost; ///< flows without an answer under ""
};

/// Splits the results of the callers by injected fault. mark() records each fault at its injection; the time before the
/// first one counts as a fault named "start".
class FaultStatistics {
public:
    FaultStatistics();

    void mark(std::string_view name, Instant now, std::int64_t unixMs);

    void flowOpened(Instant now);
    void flowEnded(const FlowTrace& trace);

    /// Counts a flow that was reset or closed too early, as broken now.
    void flowBroken(const FlowTrace& trace, Instant now);

    /// Counts a stalled flow as broken 1 s after its last packet, long before the time-out of the caller.
    void flowTimedOut(const FlowTrace& trace);

    FaultReport& current() { return m_faults.back(); }

    /// The last fault injected at or before this time.
    FaultReport& at(std::int64_t unixMs);

    const std::vector<FaultReport>& faults() const { return m_faults; }
    boost::json::array json() const;

private:
    void countBroken(const FlowTrace& trace, Instant brokeAt);

    std::vector<FaultReport> m_faults; ///< never empty, in order of injection
    std::multiset<Instant> m_openingTimes; ///< opening times of the open flows
};

} // namespace cuminrelay::standins
