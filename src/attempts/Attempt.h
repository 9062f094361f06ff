#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// The identity that a caller gives its request; unique among requests that are remembered.
struct RequestId {
    std::uint64_t m_value = 0;

    friend constexpr auto operator<=>(RequestId, RequestId) = default;
};

/// A request as a front end that understands requests sees it.
struct Request {
    RequestId m_id;
    Deadline m_deadline {}; ///< no attempt starts at or after it
    bool m_isIdempotent = false; ///< running it twice does no harm

    /// The caller sent it before, through another front end, and does not know what became of it there.
    bool m_isRepeat = false;
};

/// One attempt to run a request. Travels with the request to the backend server and back with its answer.
struct AttemptId {
    RequestId m_request;
    std::uint8_t m_number = 0; ///< 0 for the first

    friend constexpr auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// What is known of one attempt.
enum class AttemptState : std::uint8_t {
    Queued, ///< never handed to a backend server: has not run
    Handed, ///< sent: may have run
    Accepted, ///< the backend server took it: may have run
    RefusedNotRun, ///< refused in the opening exchange: has not run
    ShedWithProof, ///< the backend server says that it dropped the attempt before running it
    Answered,
    Unknown, ///< handed, and nothing more will be learnt: may have run
};

/// Why an event led to its directive. Each has a counter.
enum class AttemptReason : std::uint8_t {
    None,
    DuplicateRequest, ///< a request with this identity is remembered; it is not run again
    RepeatedElsewhere, ///< the caller repeats a request that another front end may have run, and it is not idempotent
    LedgerFull, ///< refused before anything ran
    DeadlinePassed,
    Cancelled, ///< by the caller
    RefusedInOpening,
    ShedWithProof,
    RetryBudgetUsed,
    AttemptsUsed,
    ConnectionLost, ///< after handing, without an answer
    LateAnswer, ///< its request's outcome was already reported
    CrossedAnswer, ///< from a backend server that the attempt was not handed to
    ContradictoryAnswer, ///< for an attempt that was never handed or is proved not to have run
    UnknownRequest,
    StaleEvent, ///< says nothing about an attempt in its present state
    Count,
};

/// The stable snake_case name of a reason, as counters and the command line print it.
std::string_view attemptReasonName(AttemptReason reason);

/// What the front end does next.
enum class AttemptDirective : std::uint8_t {
    Wait, ///< nothing
    Hand, ///< choose a backend server and call AttemptLedger::hand
    Deliver, ///< pass the answer to the caller; the request is over
    ReportNotRun, ///< tell the caller that the request did not run; it is over
    ReportUnknown, ///< tell the caller that the request may or may not have run; it is over
    Drop, ///< ignore the event
};

/// An answer of the ledger to one event.
struct AttemptDecision {
    AttemptDirective m_directive = AttemptDirective::Wait;
    AttemptReason m_reason = AttemptReason::None;
    AttemptId m_attempt;
    Endpoint m_cancelAt; ///< a backend server that should be told to cancel m_attempt; no address when none
};

/// Counts by reason.
using AttemptCounters = std::array<std::uint64_t, static_cast<std::size_t>(AttemptReason::Count)>;

} // namespace cuminrelay
