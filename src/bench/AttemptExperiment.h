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

/// What strikes the backend server or the entry VM of one attempt.
enum class AttemptFault : std::uint8_t {
    None,
    KillBackend, ///< started again with nothing after 4 s
    DrainBackend,
    LieInReport, ///< reports that it is idle, for 5 s
    ColdBackend, ///< runs work six times slower, for 3 s
    ShedLoad, ///< sheds all that waits, for 2 s
    SilenceConnections, ///< nothing passes on connections that are open, for good
    LoseAnswers, ///< of the backend server, for 1 s
    DelayAnswers, ///< of the backend server by up to 3 s, for 1 s
    CrossAnswers, ///< of all backend servers, for 2 s
    LosePackets, ///< a fifth of all messages, for 2 s
    DuplicatePackets, ///< a third of all messages, the copy late, for 2 s
    PauseVm, ///< for 3 s
    KillVm, ///< started again with nothing after 300 ms
    Count,
};

std::string_view attemptFaultName(AttemptFault fault);

/// The steps of an attempt at which a fault can strike.
enum class AttemptStep : std::uint8_t {
    Queued, ///< the request is known, its attempt not handed yet
    Handed, ///< on its way to the backend server
    Accepted,
    Running,
    Answered, ///< the answer is on its way
    Remembered, ///< the caller has its answer
    Count,
};

std::string_view attemptStepName(AttemptStep step);

/// A fault and the step at which it strikes.
struct AttemptStrike {
    AttemptFault m_fault = AttemptFault::None;
    AttemptStep m_step = AttemptStep::Queued;
};

struct AttemptExperimentSettings {
    std::uint64_t m_seed = 1;
    std::vector<AttemptStrike> m_strikes; ///< each comes after the one before
    std::function<std::unique_ptr<AttemptDecider>()> m_makeDecider;
    bool m_marksRepeats = true; ///< callers say so when they repeat a request through another entry VM
    bool m_tellsDrains = true; ///< entry VMs learn which backend servers drain
};

/// What happened to the requests of one run, from the record of what the backend servers ran.
struct AttemptExperimentResult {
    std::size_t m_struck = 0; ///< strikes that found their step
    std::uint64_t m_requests = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_reportedNotRun = 0;
    std::uint64_t m_reportedUnknown = 0;
    std::uint64_t m_abandoned = 0; ///< cancelled by the caller or given up with its entry VM

    // Broken promises.
    std::uint64_t m_ranTwice = 0; ///< requests that are not idempotent
    std::uint64_t m_refusedButRan = 0;
    std::uint64_t m_wrongAnswers = 0; ///< of another request, or cut off
    std::uint64_t m_startedLate = 0; ///< attempts handed or started at or after the deadline
    std::uint64_t m_workAfterDrain = 0; ///< attempts handed to a backend server 3 s after it began to drain
    std::uint64_t m_retriesOverBudget = 0;
    std::uint64_t m_untold = 0; ///< requests whose caller never learnt an outcome

    std::uint64_t violations() const;
};

/// Plays callers with requests against two front ends on a virtual clock, while faults strike at chosen steps of an
/// attempt. Decisions are the real ones; network and backend servers are models.
class AttemptExperiment final : private AttemptNetwork, private AttemptServerListener {
public:
    explicit AttemptExperiment(AttemptExperimentSettings settings);
    ~AttemptExperiment() override;

    AttemptExperimentResult run();

private:
    struct Vm;
    struct CallerRequest;
    struct RetryCount;

    void wakeLater(VmIndex vm, Duration delay, Timeline::Action action) override;
    void send(const HandedAttempt& attempt) override;
    void sendCancel(AttemptId attempt, Endpoint backend) override;
    void tell(CallerConnection connection, const AttemptDecision& decision, const ServerMessage* answer) override;
    void noteQueued(VmIndex vm, RequestId request) override;

    void accepted(const HandedAttempt& attempt) override;
    void refused(const HandedAttempt& attempt) override;
    void shed(const HandedAttempt& attempt) override;
    void started(const HandedAttempt& attempt) override;
    void answered(const HandedAttempt& attempt, bool isWhole) override;
    void lost(const HandedAttempt& attempt) override;

    void startVm(VmIndex vm);
    void tickRepeatedly(VmIndex vm);
    void probeRepeatedly(VmIndex vm);
    void probe(VmIndex vm, AttemptServer& server);
    void arriveRepeatedly();
    void sendRequest(RequestId request, VmIndex vm, bool isRepeat);
    void planCallersPatience(RequestId request);
    void repeatElsewhere(RequestId request);
    void cancelByCaller(RequestId request);
    void checkAnswer(RequestId request, const ServerMessage* answer);

    void deliver(const ServerMessage& message);
    void transmit(const ServerMessage& message, Duration delay);
    void sendAnswer(const ServerMessage& answer);
    bool crossAnswer(const ServerMessage& answer);
    bool passes(const HandedAttempt& connection);
    std::size_t copies();
    AttemptServer& serverAt(Endpoint endpoint);

    void reach(AttemptStep step, RequestId request, VmIndex vm, std::optional<Endpoint> backend);
    void strike(AttemptFault fault, VmIndex vm, AttemptServer& server);
    void strikeServer(AttemptFault fault, AttemptServer& server);
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
    std::map<std::uint64_t, RetryCount> m_retries; ///< by process
    AttemptExperimentResult m_result;

    std::uint64_t m_processes = 0;
    RequestId m_subject; ///< whose steps the strikes wait for
    Deadline m_anySubjectAt {}; ///< when another request's step will do
    std::map<Endpoint, Instant> m_drainedAt;
    std::map<Endpoint, Instant> m_silentBefore; ///< connections opened before are silent
    std::optional<ServerMessage> m_heldAnswer; ///< waits for another one to be crossed with
    Endpoint m_faultyServer;
    Deadline m_answerLossEnds {};
    Deadline m_answerDelayEnds {};
    Deadline m_crossingEnds {};
    Deadline m_lossEnds {};
    Deadline m_duplicationEnds {};
};

} // namespace cuminrelay
