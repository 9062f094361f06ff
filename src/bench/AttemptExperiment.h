#pragma once

#include "bench/AttemptFrontEnd.h"
#include "bench/Random.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// A fault of a backend server, an entry VM or the network.
enum class AttemptFault : std::uint8_t {
    None,
    KillBackend, ///< its attempts are lost; restarted after 4 s
    DrainBackend,
    FalseIdleReport, ///< reports itself as idle, for 5 s
    ColdBackend, ///< runs work six times slower, for 3 s
    ShedLoad, ///< sheds all queued attempts, for 2 s
    StallConnections, ///< open connections carry no more messages
    LoseAnswers, ///< of the backend server, for 1 s
    DelayAnswers, ///< of the backend server by up to 3 s, for 1 s
    SwapAnswers, ///< swaps the connections of pairs of answers from any backend servers, for 2 s
    LosePackets, ///< a fifth of all messages, for 2 s
    DuplicatePackets, ///< a third of all messages, with delayed duplicates, for 2 s
    PauseVm, ///< for 3 s
    KillVm, ///< restarted without state after 300 ms
    Count,
};

std::string_view attemptFaultName(AttemptFault fault);

/// The steps of an attempt at which a fault can be injected.
enum class AttemptStep : std::uint8_t {
    Queued, ///< the request was received, its attempt is not dispatched yet
    Dispatched, ///< in transit to the backend server
    Accepted,
    Running,
    Answered, ///< the answer is in transit
    Delivered, ///< the caller has received its answer
    Count,
};

std::string_view attemptStepName(AttemptStep step);

struct AttemptFaultInjection {
    AttemptFault m_fault = AttemptFault::None;
    AttemptStep m_step = AttemptStep::Queued;
};

struct AttemptExperimentSettings {
    std::uint64_t m_seed = 1;
    std::vector<AttemptFaultInjection> m_injections; ///< injected one after the other
    std::function<std::unique_ptr<AttemptDecider>()> m_makeDecider;
    bool m_marksRepeats = true; ///< callers mark a request that they repeat through another entry VM
    bool m_announcesDrains = true; ///< drains are announced to entry VMs
};

/// Outcomes of the requests of one run, checked against the attempts that the backend servers ran.
struct AttemptExperimentResult {
    std::size_t m_injected = 0; ///< faults injected
    std::uint64_t m_requests = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_reportedNotRun = 0;
    std::uint64_t m_reportedUnknown = 0;
    std::uint64_t m_abandoned = 0; ///< cancelled by the caller

    // Violated invariants.
    std::uint64_t m_ranTwice = 0; ///< non-idempotent requests
    std::uint64_t m_reportedNotRunButRan = 0;
    std::uint64_t m_wrongAnswers = 0; ///< of another request, or truncated
    std::uint64_t m_startedLate = 0; ///< attempts dispatched or started at or after the deadline
    std::uint64_t m_workAfterDrain = 0; ///< attempts dispatched to a backend server from 3 s after its drain began
    std::uint64_t m_processesOverRetryBudget = 0;
    std::uint64_t m_unreported = 0; ///< requests whose caller received no outcome

    std::uint64_t violations() const;
};

/// Simulates callers with requests and two front ends on a virtual clock, and injects faults at chosen steps of an
/// attempt. Decisions are those of production; network and backend servers are simulated.
class AttemptExperiment final : private AttemptNetwork, private AttemptServerListener {
public:
    explicit AttemptExperiment(AttemptExperimentSettings settings);
    ~AttemptExperiment() override;

    AttemptExperimentResult run();

private:
    struct Vm;
    struct CallerRequest;
    struct RetryCount;

    void runLater(VmIndex vm, Duration delay, Timeline::Action action) override;
    void send(const DispatchedAttempt& attempt) override;
    void sendCancel(AttemptId attempt, Endpoint backend) override;
    void reportOutcome(
        CallerConnection connection, const AttemptDecision& decision, const ServerMessage* answer) override;
    void recordQueued(VmIndex vm, RequestId request) override;

    void accepted(const DispatchedAttempt& attempt) override;
    void refused(const DispatchedAttempt& attempt) override;
    void shed(const DispatchedAttempt& attempt) override;
    void started(const DispatchedAttempt& attempt) override;
    void answered(const DispatchedAttempt& attempt, bool isComplete) override;
    void lost(const DispatchedAttempt& attempt) override;

    void startVm(VmIndex vm);
    void tickRepeatedly(VmIndex vm);
    void probeRepeatedly(VmIndex vm);
    void probe(VmIndex vm, AttemptServer& server);
    void generateRequests();
    void sendRequest(RequestId request, VmIndex vm, bool isRepeat);
    void scheduleCallerActions(RequestId request);
    void repeatThroughOtherVm(RequestId request);
    void cancelByCaller(RequestId request);
    void checkAnswer(RequestId request, const ServerMessage* answer);

    void deliver(const ServerMessage& message);
    void transmit(const ServerMessage& message, Duration delay);
    void sendAnswer(const ServerMessage& answer);
    bool swapAnswer(const ServerMessage& answer);
    bool isDelivered(const DispatchedAttempt& connection);
    std::size_t drawCopies();
    AttemptServer& serverAt(Endpoint endpoint);

    void reachStep(AttemptStep step, RequestId request, VmIndex vm, std::optional<Endpoint> backend);
    void injectFault(AttemptFault fault, VmIndex vm, AttemptServer& server);
    void injectServerFault(AttemptFault fault, AttemptServer& server);
    void drain(Endpoint backend);
    void pauseVm(VmIndex vm);
    void killVm(VmIndex vm);
    void summarize();

    AttemptExperimentSettings m_settings;
    Random m_random;
    Timeline m_timeline;
    std::vector<Endpoint> m_endpoints;
    std::vector<std::unique_ptr<AttemptServer>> m_servers;
    std::vector<Vm> m_vms;
    std::map<RequestId, CallerRequest> m_requests;
    std::map<std::uint64_t, RetryCount> m_retries; ///< key: process
    AttemptExperimentResult m_result;

    std::uint64_t m_startedProcesses = 0;
    RequestId m_targetRequest; ///< the request at whose steps faults are injected
    Deadline m_anyTargetAt {}; ///< from then on another request may become the target
    std::map<Endpoint, Instant> m_drainStartedAt;
    std::map<Endpoint, Instant> m_stalledBefore; ///< connections opened up to then are stalled
    std::optional<ServerMessage> m_heldAnswer; ///< held until another answer arrives to swap with
    Endpoint m_faultyServer;
    Deadline m_answerLossEnds {};
    Deadline m_answerDelayEnds {};
    Deadline m_swapEnds {};
    Deadline m_lossEnds {};
    Deadline m_duplicationEnds {};
};

} // namespace cuminrelay
