#pragma once

#include "standins/FaultStatistics.h"
#include "standins/WorkMessage.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>

namespace cuminrelay::standins {

/// A backend server's record of one piece of work that it started.
struct RunRecord {
    std::string m_id;
    bool m_idempotent = false;
    std::int64_t m_startedUnixMs = 0;
};

/// Results seen by the callers, and violations of the system's guarantees.
struct CallersReport {
    std::uint64_t m_flows = 0;
    std::uint64_t m_brokenByReset = 0;
    std::uint64_t m_brokenByTimeout = 0;
    std::uint64_t m_brokenByEarlyEnd = 0; ///< the peer closed the connection before it had answered
    std::uint64_t m_refused = 0; ///< flows refused by a reset or ICMP before they opened
    std::uint64_t m_shed = 0; ///< requests answered with a status that proves that they did not run
    std::uint64_t m_answers = 0;
    std::uint64_t m_pushes = 0;
    std::uint64_t m_misrouted = 0; ///< answers from the wrong service, or from another host than the flow's first
    std::uint64_t m_incompleteAnswers = 0; ///< incomplete, corrupt, or to another request
    std::uint64_t m_runTwice = 0;
    std::uint64_t m_refusedButRun = 0;
    std::set<std::string, std::less<>> m_notRun; ///< ids of requests that were refused or shed
    std::map<std::string, std::uint64_t, std::less<>> m_hostFlows; ///< flows by the host that answered

    FaultStatistics m_faultStatistics; ///< the same counts for each injected fault

    void countOpened(Instant now);
    void countRefused();
    void countShed();
    void countMisrouted();
    void countIncomplete();

    /// Count a broken flow by its cause.
    void countReset(const FlowTrace& trace, Instant now);
    void countEarlyEnd(const FlowTrace& trace, Instant now);
    void countTimeout(const FlowTrace& trace);

    std::uint64_t broken() const { return m_brokenByReset + m_brokenByTimeout + m_brokenByEarlyEnd; }

    /// Counts requests that ran although refused or shed, and non-idempotent requests that ran more than once.
    void compareWith(std::span<const RunRecord> records);

    std::string json() const;
};

} // namespace cuminrelay::standins
