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

/// A message from a backend server on the connection of one attempt.
struct ServerMessage {
    enum class Kind : std::uint8_t {
        Accepted,
        Refused,
        Shed,
        Answer,
        Lost, ///< no message: the connection was lost
    };

    Kind m_kind = Kind::Accepted;
    AttemptId m_namedAttempt; ///< attempt named in the message
    DispatchedAttempt m_connection;
    bool m_isComplete = true; ///< false for a truncated answer
};

/// Number of a connection among those that a caller opened for one request.
using CallerConnection = unsigned;

class AttemptNetwork {
public:
    AttemptNetwork() = default;
    AttemptNetwork(const AttemptNetwork&) = delete;
    AttemptNetwork& operator=(const AttemptNetwork&) = delete;
    virtual ~AttemptNetwork() = default;

    /// Runs the action in the VM's process after the delay and any pause of the VM; never if the process has ended.
    virtual void runLater(VmIndex vm, Duration delay, Timeline::Action action) = 0;

    virtual void send(const DispatchedAttempt& attempt) = 0;
    virtual void sendCancel(AttemptId attempt, Endpoint backend) = 0;

    /// Reports the outcome of a request to its caller, on the connection on which the request last arrived. answer:
    /// forwarded with AttemptDirective::Deliver.
    virtual void reportOutcome(
        CallerConnection connection, const AttemptDecision& decision, const ServerMessage* answer)
        = 0;

    virtual void recordQueued(VmIndex vm, RequestId request) = 0;
};

/// A process that receives requests, decides on them with the production policies and executes the decisions.
class AttemptFrontEnd {
public:
    AttemptFrontEnd(VmIndex vm, std::uint64_t process, std::unique_ptr<AttemptDecider> decider,
        std::span<const Endpoint> backends, const Timeline& timeline, AttemptNetwork& network);

    void receive(const Request& request, CallerConnection connection);
    void receive(const ServerMessage& message);
    void cancel(RequestId request) { execute(m_decider->cancel(request), nullptr); }
    void recordProbe(Endpoint backend, ProbeSignal signal, BackendReport report);
    void declare(Endpoint backend, bool isDraining);

    /// Ends expired requests and starts due retries. Call periodically.
    void tick();

    std::uint64_t process() const { return m_process; }

private:
    void execute(const AttemptDecision& decision, const ServerMessage* answer);
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
    std::map<RequestId, Endpoint> m_placements; ///< backend server of the request's newest attempt
};

} // namespace cuminrelay
