#pragma once

#include "attempts/Attempt.h"
#include "attempts/RetryBudget.h"
#include "base/Error.h"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <functional>
#include <optional>
#include <queue>
#include <span>
#include <vector>

namespace cuminrelay {

/// Enforces at-most-once execution of requests and decides which outcome is reported. For front ends that see the
/// identity, deadline and idempotent flag of a request. Independent of sockets, codecs and clocks.
///
/// Rules:
/// - A request is retried only if each earlier attempt provably has not run: not dispatched, refused in the handshake,
///   or shed before it ran. m_retriesUnknownIdempotent also allows retries of idempotent requests after an unknown
///   attempt.
/// - A request is reported as not run only if all its attempts provably have not run; otherwise its outcome is unknown.
/// - A request that its caller repeats through this front end may have run through another one. It is run only if it is
///   idempotent, and is never reported as not run.
/// - An answer is accepted only for the attempt that it names, from that attempt's backend server.
/// - A request's identity is retained after its end, so that a repeat is not run again. A full ledger refuses new
///   requests and evicts none early.
///
/// Memory: about 100 bytes per request.
class AttemptLedger {
public:
    struct Parameters {
        std::size_t m_capacity = 100'000; ///< requests held, including ended ones
        std::uint8_t m_maximumAttempts = 3; ///< at most s_attemptLimit
        bool m_retriesUnknownIdempotent = false;
        Duration m_identityRetention = std::chrono::seconds { 60 }; ///< retention after the deadline
        RetryBudget::Parameters m_retryBudget {};
    };

    static constexpr std::uint8_t s_attemptLimit = 4;

    AttemptLedger()
        : AttemptLedger(Parameters {})
    {
    }

    explicit AttemptLedger(const Parameters& parameters);

    /// Adds a new request. Returns Dispatch; ReportNotRun if the ledger is full or the deadline has passed; Drop if the
    /// ledger holds the identity. Repeats get ReportUnknown instead of ReportNotRun, also if they are not idempotent or
    /// the held request has ended. A repeat of a request in progress is dropped: its outcome is reported at its end.
    AttemptDecision open(const Request& request, Instant now);

    /// Call immediately before the request is sent to a backend server. Wait: send it as m_attempt. Any other
    /// directive: do not send it.
    AttemptDecision dispatch(RequestId request, Endpoint backend, Instant now);

    /// The backend server accepted the attempt and will run it.
    AttemptDecision recordAccepted(AttemptId attempt, Endpoint backend);

    /// The backend server refused the attempt in the handshake. Dropped as stale once the attempt was accepted.
    AttemptDecision recordRefused(AttemptId attempt, Endpoint backend, Instant now);

    /// The backend server reports that it dropped the attempt before running any of it.
    AttemptDecision recordShed(AttemptId attempt, Endpoint backend, Instant now);

    /// A complete answer was received. Deliver: forward it to the caller of m_attempt.m_request.
    AttemptDecision recordAnswered(AttemptId attempt, Endpoint backend);

    /// The connection to the backend server was lost before an answer.
    AttemptDecision recordLost(AttemptId attempt, Endpoint backend, Instant now);

    /// The caller cancelled the request. It is not retried; the result of a dispatched attempt is still awaited.
    AttemptDecision cancel(RequestId request);

    /// Ends requests whose deadline has passed and evicts identities past their retention. Writes one decision per
    /// ended request and returns their number. If that is decisions.size(), call again. Precondition: decisions is not
    /// empty.
    std::size_t expire(std::span<AttemptDecision> decisions, Instant now);

    /// The state of an attempt; nullopt if the ledger does not hold it.
    std::optional<AttemptState> stateOf(AttemptId attempt) const;

    std::size_t size() const { return m_entries.size(); }

    /// Decisions ReportNotRun, ReportUnknown and Drop, by reason.
    const AttemptCounters& refusals() const { return m_refusals; }
    const AttemptCounters& unknownOutcomes() const { return m_unknownOutcomes; }
    const AttemptCounters& drops() const { return m_drops; }

    /// Retries, by the reason why the previous attempt ended.
    const AttemptCounters& retries() const { return m_retries; }

private:
    struct AttemptRecord {
        AttemptState m_state = AttemptState::Queued;
        Endpoint m_backend;
    };

    struct Entry {
        Request m_request;
        std::array<AttemptRecord, s_attemptLimit> m_attempts {};
        std::uint8_t m_attemptCount = 1;
        bool m_isCancelled = false;
        bool m_isFinished = false;

        AttemptRecord& current() { return m_attempts[m_attemptCount - 1U]; }
        AttemptId currentId() const { return { m_request.m_id, static_cast<std::uint8_t>(m_attemptCount - 1U) }; }
        bool mayHaveRun() const;
    };

    struct Timer {
        Deadline m_at;
        RequestId m_request;

        friend constexpr auto operator<=>(const Timer&, const Timer&) = default;
    };

    using TimerQueue = std::priority_queue<Timer, std::vector<Timer>, std::greater<>>;

    Entry* find(RequestId request);
    AttemptDecision openRepeated(Entry& entry, const Request& request);
    AttemptRecord* findDispatched(AttemptId attempt, Endpoint backend, AttemptDecision& failure);
    AttemptDecision retryOrEnd(Entry& entry, AttemptReason cause, Instant now);
    AttemptDecision recordNotRun(
        AttemptId attempt, AttemptRecord& record, AttemptState notRunState, AttemptReason cause, Instant now);
    AttemptReason openRejection(const Request& request, Instant now) const;
    AttemptReason retryRejection(const Entry& entry, Instant now);
    AttemptDecision end(Entry& entry, AttemptReason cause);
    AttemptDecision drop(AttemptId attempt, AttemptReason cause);
    static void count(AttemptCounters& counters, AttemptReason reason);

    Parameters m_parameters;
    RetryBudget m_budget;
    boost::unordered_flat_map<std::uint64_t, Entry> m_entries;
    TimerQueue m_deadlines;
    TimerQueue m_evictions;
    AttemptCounters m_refusals {};
    AttemptCounters m_unknownOutcomes {};
    AttemptCounters m_drops {};
    AttemptCounters m_retries {};
};

} // namespace cuminrelay
