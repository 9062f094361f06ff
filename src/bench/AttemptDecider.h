#pragma once

#include "attempts/AttemptLedger.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <span>

namespace cuminrelay {

/// An event of an attempt as a front end sees it on one of its connections.
struct AttemptEvent {
    AttemptId m_named; ///< the attempt that the message names
    AttemptId m_connection; ///< the attempt that was handed on the connection
    Endpoint m_backend; ///< the other end of the connection
};

/// How a front end decides on requests and attempts; the operations are those of AttemptLedger.
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

    /// isWhole: false for an answer that was cut off, after which the connection is gone.
    virtual AttemptDecision recordAnswered(const AttemptEvent& event, bool isWhole, Instant now) = 0;
    virtual AttemptDecision recordLost(const AttemptEvent& event, Instant now) = 0;
    virtual AttemptDecision cancel(RequestId request) = 0;
    virtual std::size_t expire(std::span<AttemptDecision> decisions, Instant now) = 0;
};

/// The product: AttemptLedger.
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
    AttemptDecision recordAnswered(const AttemptEvent& event, bool isWhole, Instant now) override;
    AttemptDecision recordLost(const AttemptEvent& event, Instant now) override;
    AttemptDecision cancel(RequestId request) override;
    std::size_t expire(std::span<AttemptDecision> decisions, Instant now) override;

private:
    AttemptLedger m_ledger;
};

/// A baseline: hands again whatever brought no answer in time, believes each answer on a connection, and takes silence
/// until the deadline for proof that nothing ran.
class RetryOnTimeoutDecider final : public AttemptDecider {
public:
    AttemptDecision open(const Request& request, Instant now) override;
    AttemptDecision dispatch(RequestId request, Endpoint backend, Instant now) override;
    AttemptDecision recordAccepted(const AttemptEvent& event) override;
    AttemptDecision recordRefused(const AttemptEvent& event, Instant now) override;
    AttemptDecision recordShed(const AttemptEvent& event, Instant now) override;
    AttemptDecision recordAnswered(const AttemptEvent& event, bool isWhole, Instant now) override;
    AttemptDecision recordLost(const AttemptEvent& event, Instant now) override;
    AttemptDecision cancel(RequestId request) override;
    std::size_t expire(std::span<AttemptDecision> decisions, Instant now) override;

private:
    struct Open {
        Request m_request;
        std::uint8_t m_number = 0;
        Deadline m_retryAt {};
    };

    AttemptDecision handAgain(RequestId request, Instant now);

    std::map<RequestId, Open> m_open;
};

} // namespace cuminrelay
