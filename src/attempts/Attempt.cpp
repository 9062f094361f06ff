#include "attempts/Attempt.h"

namespace cuminrelay {

std::string_view attemptReasonName(AttemptReason reason)
{
    switch (reason) {
    case AttemptReason::None:
        return "none";
    case AttemptReason::DuplicateRequest:
        return "duplicate_request";
    case AttemptReason::NonIdempotentRepeat:
        return "repeated_elsewhere";
    case AttemptReason::LedgerFull:
        return "ledger_full";
    case AttemptReason::DeadlinePassed:
        return "deadline_passed";
    case AttemptReason::Cancelled:
        return "cancelled";
    case AttemptReason::RefusedInHandshake:
        return "refused_in_opening";
    case AttemptReason::ShedNotRun:
        return "shed_with_proof";
    case AttemptReason::RetryBudgetExhausted:
        return "retry_budget_used";
    case AttemptReason::AttemptsExhausted:
        return "attempts_used";
    case AttemptReason::ConnectionLost:
        return "connection_lost";
    case AttemptReason::LateAnswer:
        return "late_answer";
    case AttemptReason::MisroutedAnswer:
        return "crossed_answer";
    case AttemptReason::ContradictoryAnswer:
        return "contradictory_answer";
    case AttemptReason::UnknownRequest:
        return "unknown_request";
    case AttemptReason::StaleEvent:
        return "stale_event";
    case AttemptReason::Count:
        break;
    }
    return "unknown";
}

} // namespace cuminrelay
