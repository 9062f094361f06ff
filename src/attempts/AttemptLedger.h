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

/// Runs each request at most once, and says truthfully what became of it. For front ends that see requests with an
/// identity, a deadline and an idempotent mark; knows no socket, codec or clock.
///
/// Rules:
/// - A request is handed again only when every earlier attempt is proved not to have run: never handed, refused in the
///   opening exchange, or shed with proof. Idempotent requests may also be repeated after an unknown attempt, if the
///   parameters say so.
/// - Not-run is reported only when every attempt is proved not to have run; otherwise the outcome is unknown.
/// - A request that its caller repeats through this front end may have run through another one: it is run only if it is
///   idempotent, and never reported as not run.
/// - An answer counts only for the attempt that it names and from the backend server that this was handed to.
/// - A request's identity is remembered for a while after its end, so that a repeated one is not run again. When the
///   ledger is full, new requests are refused; nothing is forgotten early.
///
/// Memory: about 100 bytes a request.
class AttemptLedger {
public:
    struct Parameters {
        std::size_t m_capacity = 100'000; ///< requests remembered, open and over
        std::uint8_t m_maximumAttempts = 3; ///< at most s_attemptLimit
        bool m_repeatsUnknownIdempotent = false;
        Duration m_memory = std::chrono::seconds { 60 }; ///< how long an identity outlives its deadline
        RetryBudget::Parameters m_retryBudget {};
    };

    static constexpr std::uint8_t s_attemptLimit = 4;

    AttemptLedger()
        : AttemptLedger(Parameters {})
    {
    }

    explicit AttemptLedger(const Parameters& parameters);

    /// Takes a new request: Hand, or ReportNotRun when the ledger is full or the deadline has passed, or Drop for an
    /// identity that is remembered. ReportUnknown instead of ReportNotRun for a repeat; also for one that is not
    /// idempotent, and for one of a request that is remembered and over. A repeat of one that is not over is dropped:
    /// its caller is told when the outcome is known.
    AttemptDecision open(const Request& request, Instant now);

    /// Call right before the request is sent to a backend server. Wait means: send it, as m_attempt. ReportNotRun or
    /// ReportUnknown mean: do not send it.
    AttemptDecision hand(RequestId request, Endpoint backend, Instant now);

    /// The backend server took the attempt and will run it.
    AttemptDecision noteAccepted(AttemptId attempt, Endpoint backend);

    /// The backend server refused in the opening exchange. Proof only while the attempt was not accepted.
    AttemptDecision noteRefused(AttemptId attempt, Endpoint backend, Instant now);

    /// The backend server says that it dropped the attempt without running any of it.
    AttemptDecision noteShed(AttemptId attempt, Endpoint backend, Instant now);

    /// An answer came, whole. Deliver means that it goes to the caller of m_attempt.m_request.
    AttemptDecision noteAnswered(AttemptId attempt, Endpoint backend);

    /// The way to the backend server broke; no answer will come.
    AttemptDecision noteLost(AttemptId attempt, Endpoint backend, Instant now);

    /// The caller wants the request no more. It is not handed again; a handed attempt's outcome is still awaited.
    AttemptDecision cancel(RequestId request);

    /// Ends requests whose deadline has passed and forgets the ones remembered long enough. Writes one decision for
    /// each ended request; returns how many. When that is decisions.size(), call again. Precondition: decisions is not
    /// empty.
    std::size_t expire(std::span<AttemptDecision> decisions, Instant now);

    /// The state of an attempt, or nothing when it is not remembered.
    std::optional<AttemptState> stateOf(AttemptId attempt) const;

    std::size_t size() const { return m_entries.size(); }

    /// Decisions to report not-run, to report unknown and to drop, by reason.
    const AttemptCounters& refusals() const { return m_refusals; }
    const AttemptCounters& unknowns() const { return m_unknowns; }
    const AttemptCounters& drops() const { return m_drops; }

    /// Decisions to hand again, by the reason why the earlier attempt did not run.
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
        bool m_isOver = false;

        AttemptRecord& current() { return m_attempts[m_attemptCount - 1U]; }
        AttemptId currentId() const { return { m_request.m_id, static_cast<std::uint8_t>(m_attemptCount - 1U) }; }
        bool mayHaveRun() const;
    };

    struct Wakeup {
        Deadline m_at;
        RequestId m_request;

        friend constexpr auto operator<=>(const Wakeup&, const Wakeup&) = default;
    };

    using WakeupQueue = std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>>;

    Entry* find(RequestId request);
    AttemptDecision openAgain(Entry& entry, const Request& request);
    AttemptRecord* findHanded(AttemptId attempt, Endpoint backend, AttemptDecision& failure);
    AttemptDecision handAgainOrEnd(Entry& entry, AttemptReason why, Instant now);
    AttemptDecision proveNotRun(
        AttemptId attempt, AttemptRecord& record, AttemptState proof, AttemptReason why, Instant now);
    AttemptReason obstacleToOpen(const Request& request, Instant now) const;
    AttemptReason obstacleToRetry(const Entry& entry, Instant now);
    AttemptDecision end(Entry& entry, AttemptReason why);
    AttemptDecision drop(AttemptId attempt, AttemptReason why);
    static void count(AttemptCounters& counters, AttemptReason reason);

    Parameters m_parameters;
    RetryBudget m_budget;
    boost::unordered_flat_map<std::uint64_t, Entry> m_entries;
    WakeupQueue m_deadlines;
    WakeupQueue m_forgetting;
    AttemptCounters m_refusals {};
    AttemptCounters m_unknowns {};
    AttemptCounters m_drops {};
    AttemptCounters m_retries {};
};

} // namespace cuminrelay
