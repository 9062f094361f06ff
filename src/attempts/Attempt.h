#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// Request identity assigned by the caller; unique among the requests that a ledger holds.
struct RequestId {
    std::uint64_t m_value = 0;

    friend constexpr auto operator<=>(RequestId, RequestId) = default;
};

/// A request as seen by a front end that parses requests.
struct Request {
    RequestId m_id;
    Deadline m_deadline {}; ///< no attempt is dispatched at or after it
    bool m_isIdempotent = false; ///< may be run more than once

    /// The caller sent this request before, through another front end, and got no outcome from there.
    bool m_isRepeat = false;
};

/// One attempt to run a request. Sent to the backend server with the request and returned with the answer.
struct AttemptId {
    RequestId m_request;
    std::uint8_t m_number = 0; ///< 0 for the first

    friend constexpr auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

enum class AttemptState : std::uint8_t {
    Queued, ///< not dispatched to a backend server: has not run
    Dispatched, ///< sent to a backend server: may have run
    Accepted, ///< accepted by the backend server: may have run
    RefusedNotRun, ///< refused in the handshake: has not run
    ShedNotRun, ///< dropped by the backend server before it ran: has not run
    Answered,
    Unknown, ///< connection lost or request ended before an answer: may have run
};

/// Reason for a directive. The ledger counts its decisions by reason.
enum class AttemptReason : std::uint8_t {
    None,
    DuplicateRequest, ///< the ledger holds a request with this identity, which is not run again
    NonIdempotentRepeat, ///< another front end may have run the request, which is not idempotent
    LedgerFull, ///< refused before the first attempt
    DeadlinePassed,
    Cancelled, ///< by the caller
    RefusedInHandshake,
    ShedNotRun,
    RetryBudgetExhausted,
    AttemptsExhausted,
    ConnectionLost, ///< after dispatch and before an answer
    LateAnswer, ///< the outcome of the request was already reported
    MisroutedAnswer, ///< from a backend server to which the attempt was not dispatched
    ContradictoryAnswer, ///< for an attempt that was not dispatched or is recorded as not run
    UnknownRequest,
    StaleEvent, ///< does not apply to the attempt in its current state
    Count,
};

/// The snake_case name of a reason in counters and on the command line. The names are stable.
std::string_view attemptReasonName(AttemptReason reason);

/// Next action of the front end.
enum class AttemptDirective : std::uint8_t {
    Wait, ///< await the next event; from AttemptLedger::dispatch, first send the request
    Dispatch, ///< choose a backend server and call AttemptLedger::dispatch
    Deliver, ///< forward the answer to the caller; ends the request
    ReportNotRun, ///< report that the request did not run; ends it
    ReportUnknown, ///< report that the request may have run; ends it
    Drop, ///< ignore the event
};

/// Result of one event.
struct AttemptDecision {
    AttemptDirective m_directive = AttemptDirective::Wait;
    AttemptReason m_reason = AttemptReason::None;
    AttemptId m_attempt;
    Endpoint m_cancelTarget; ///< backend server to send a cancellation of m_attempt; default value if none
};

/// Decision counts, indexed by reason.
using AttemptCounters = std::array<std::uint64_t, static_cast<std::size_t>(AttemptReason::Count)>;

} // namespace cuminrelay
