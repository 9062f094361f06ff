#pragma once

#include "attempts/AttemptLedger.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <span>

namespace cuminrelay {

/// Identifies the attempt of a message that a front end receives on one of its connections.
struct AttemptEvent {
    AttemptId m_namedAttempt; ///< attempt named in the message
    AttemptId m_connectionAttempt; ///< attempt dispatched on the connection
    Endpoint m_backend; ///< remote end of the connection
};

/// Decides on requests and attempts for a front end. The operations are those of AttemptLedger.
class AttemptDecider {
public:
    AttemptDecider() = default;
    AttemptDecider(const AttemptDecider&) = delete;
    AttemptDecider& operator=(const AttemptDecider&) = delete;
    virtual ~AttemptDecider() = default;

    virtual AttemptDecision open(const Request& request, Instant now) = 0;
    virtual AttemptDecision dispatch(RequestId request, Endpoint backend, Instant now) = 0;
    virtual AttemptDecision recordAccepted(const AttemptEvent& event) = 0;
    virtual AttemptDecision recordRefused(const AttemptEvent& event, Instant now) = 0;
    virtual AttemptDecision recordShed(const AttemptEvent& event, Instant now) = 0;

    /// isComplete: false for a truncated answer, after which the connection is lost.
    virtual AttemptDecision recordAnswered(const AttemptEvent& event, bool isComplete, Instant now) = 0;
    virtual AttemptDecision recordLost(const AttemptEvent& event, Instant now) = 0;
    virtual AttemptDecision cancel(RequestId request) = 0;
    virtual std::size_t expire(std::span<AttemptDecision> decisions, Instant now) = 0;
};

/// The production design: AttemptLedger.
class LedgerDecider final : public AttemptDecider {
public:
    explicit LedgerDecider(const AttemptLedger::Parameters& parameters)
        : m_ledger(parameters)
    {
    }

    AttemptDecision open(const Request& request, Instant now) override;
    AttemptDecision dispatch(RequestId request, Endpoint backend, Instant now) override;
    AttemptDecision recordAccepted(const AttemptEvent& event) override;
    AttemptDecision recordRefused(const AttemptEvent& event, Instant now) override;
    AttemptDecision recordShed(const AttemptEvent& event, Instant now) override;
    AttemptDecision recordAnswered(const AttemptEvent& event, bool isComplete, Instant now) override;
    AttemptDecision recordLost(const AttemptEvent& event, Instant now) override;
    AttemptDecision cancel(RequestId request) override;
    std::size_t expire(std::span<AttemptDecision> decisions, Instant now) override;

private:
    AttemptLedger m_ledger;
};

/// A baseline: retries after a time-out, accepts any answer on a connection, and reports a request as not run if it is
/// cancelled or has no answer by its deadline.
class RetryOnTimeoutDecider final : public AttemptDecider {
public:
    AttemptDecision open(const Request& request, Instant now) override;
    AttemptDecision dispatch(RequestId request, Endpoint backend, Instant now) override;
    AttemptDecision recordAccepted(const AttemptEvent& event) override;
    AttemptDecision recordRefused(const AttemptEvent& event, Instant now) override;
    AttemptDecision recordShed(const AttemptEvent& event, Instant now) override;
    AttemptDecision recordAnswered(const AttemptEvent& event, bool isComplete, Instant now) override;
    AttemptDecision recordLost(const AttemptEvent& event, Instant now) override;
    AttemptDecision cancel(RequestId request) override;
    std::size_t expire(std::span<AttemptDecision> decisions, Instant now) override;

private:
    struct OpenRequest {
        Request m_request;
        std::uint8_t m_number = 0;
        Deadline m_retryAt {};
    };

    AttemptDecision retry(RequestId request, Instant now);

    std::map<RequestId, OpenRequest> m_open;
};

} // namespace cuminrelay
