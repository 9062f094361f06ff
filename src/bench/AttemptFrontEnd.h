#pragma once

#include "admission/ShareAdmission.h"
#include "backends/BackendStatusTable.h"
#include "backends/HealthTracker.h"
#include "bench/AttemptDecider.h"
#include "bench/AttemptServer.h"
#include "placement/BoundedLoadPlacement.h"

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace cuminrelay {

/// A message of a backend server on the connection of one attempt.
struct ServerMessage {
    enum class Kind : std::uint8_t {
        Accepted,
        Refused,
        Shed,
        Answer,
        Lost, ///< no message: the connection broke
    };

    Kind m_kind = Kind::Accepted;
    AttemptId m_named; ///< as the message says
    HandedAttempt m_connection;
    bool m_isWhole = true; ///< false for an answer that was cut off
};

/// Numbers the connections that a caller opened for one request.
using CallerConnection = unsigned;

/// Where a front end sends to.
class AttemptNetwork {
public:
    AttemptNetwork() = default;
    AttemptNetwork(const AttemptNetwork&) = delete;
    AttemptNetwork& operator=(const AttemptNetwork&) = delete;
    virtual ~AttemptNetwork() = default;

    /// Runs the action on the VM's process after a delay, or when its pause ends; not at all when the process is gone.
    virtual void wakeLater(VmIndex vm, Duration delay, Timeline::Action action) = 0;

    virtual void send(const HandedAttempt& attempt) = 0;
    virtual void sendCancel(AttemptId attempt, Endpoint backend) = 0;

    /// Tells a caller the outcome of its request on the connection that the request came on last. answer: what is
    /// passed on with AttemptDirective::Deliver.
    virtual void tell(CallerConnection connection, const AttemptDecision& decision, const ServerMessage* answer) = 0;

    /// A request waits to be handed.
    virtual void noteQueued(VmIndex vm, RequestId request) = 0;
};

/// One process that sees requests: decides on each with the real policies and carries the decisions out.
class AttemptFrontEnd {
public:
    AttemptFrontEnd(VmIndex vm, std::uint64_t process, std::unique_ptr<AttemptDecider> decider,
        std::span<const Endpoint> backends, const Timeline& timeline, AttemptNetwork& network);

    void receive(const Request& request, CallerConnection connection);
    void receive(const ServerMessage& message);
    void cancel(RequestId request) { carryOut(m_decider->cancel(request), nullptr); }
    void recordProbe(Endpoint backend, ProbeSignal signal, BackendReport report);
    void declare(Endpoint backend, bool isDraining);

    /// Call every few milliseconds.
    void tick();

    std::uint64_t process() const { return m_process; }

private:
    void carryOut(const AttemptDecision& decision, const ServerMessage* answer);
    void dispatch(RequestId request);
    AttemptDecision decide(const ServerMessage& message);
    void close(RequestId request);

    VmIndex m_vm;
    std::uint64_t m_process;
    std::unique_ptr<AttemptDecider> m_decider;
    std::vector<Endpoint> m_backends;
    const Timeline& m_timeline;
    AttemptNetwork& m_network;
    BackendStatusTable m_backendStatuses;
    HealthTracker m_health;
    BoundedLoadPlacement m_placement;
    ShareAdmission m_admission;
    std::map<RequestId, Deadline> m_deadlines;
    std::map<RequestId, CallerConnection> m_connections;
    std::map<RequestId, Endpoint> m_placed; ///< where the request's newest attempt is
};

} // namespace cuminrelay
