#include "bench/AttemptExperiment.h"

#include <algorithm>
#include <numeric>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_vmCount = 2;
    constexpr std::size_t c_serverCount = 4;
    constexpr std::uint32_t c_serverNetwork = 0x0a010000;
    constexpr std::uint16_t c_serverPort = 5555;

    constexpr double c_requestsPerSecond = 100;
    constexpr Instant c_firstInjectionAt { std::chrono::seconds { 3 } };
    constexpr Instant c_arrivalsEnd { std::chrono::seconds { 9 } };
    constexpr Instant c_end { std::chrono::seconds { 18 } };

    constexpr Duration c_oneWayDelay = std::chrono::milliseconds { 1 };
    constexpr Duration c_tickInterval = std::chrono::milliseconds { 20 };
    constexpr Duration c_probeInterval = std::chrono::seconds { 1 };
    constexpr Duration c_reportDelay = std::chrono::milliseconds { 200 };
    constexpr Duration c_lossDetectionTime = std::chrono::milliseconds { 100 };

    constexpr double c_idempotentShare = 0.3;
    constexpr double c_duplicatedShare = 0.05; ///< of requests; sent twice to their entry VM
    constexpr double c_cancelledShare = 0.03;
    constexpr double c_repeatedShare = 0.2;
    constexpr Duration c_callerTimeout = std::chrono::milliseconds { 800 };
    constexpr Duration c_minDeadline = std::chrono::milliseconds { 400 };
    constexpr std::uint64_t c_deadlineSpreadMicroseconds = 4'000'000;

    /// Time after which a draining backend server must get no new work.
    constexpr Duration c_drainTimeLimit = std::chrono::seconds { 3 };
    constexpr std::uint64_t c_configurationSkewMicroseconds = 2'000'000;

    constexpr Duration c_backendRestart = std::chrono::seconds { 4 };
    constexpr Duration c_vmRestart = std::chrono::milliseconds { 300 };
    constexpr Duration c_pauseTime = std::chrono::seconds { 3 };
    constexpr Duration c_falseReportTime = std::chrono::seconds { 5 };
    constexpr Duration c_coldTime = std::chrono::seconds { 3 };
    constexpr Duration c_sheddingTime = std::chrono::seconds { 2 };
    constexpr Duration c_answerFaultTime = std::chrono::seconds { 1 };
    constexpr Duration c_swapTime = std::chrono::seconds { 2 };
    constexpr Duration c_swapTimeout = std::chrono::milliseconds { 100 };
    constexpr Duration c_packetFaultTime = std::chrono::seconds { 2 };
    constexpr double c_lossShare = 0.2;
    constexpr double c_duplicationShare = 0.33;
    constexpr std::uint64_t c_maxAnswerDelayMicroseconds = 3'000'000;
    constexpr std::uint64_t c_maxDuplicateDelayMicroseconds = 200'000;
    constexpr std::uint64_t c_maxInjectionGapMicroseconds = 2'000'000;

    Duration drawDuration(Random& random, std::uint64_t microseconds)
    {
        return Duration { static_cast<std::int64_t>(random.below(microseconds)) };
    }

} // namespace

struct AttemptExperiment::Vm {
    std::unique_ptr<AttemptFrontEnd> m_process; ///< null while no process runs
    Deadline m_pausedUntil {};
    std::map<Endpoint, bool> m_draining; ///< as stored by its control process
};

struct AttemptExperiment::CallerRequest {
    Request m_request;
    VmIndex m_vm = 0; ///< the entry VM that the caller uses
    CallerConnection m_connection = 0; ///< the newest; the caller closes the previous one
    bool m_isFinished = false; ///< the caller has an outcome
    bool m_isAbandoned = false;
    AttemptDirective m_reportedDirective = AttemptDirective::Wait;
    unsigned m_runs = 0;
};

struct AttemptExperiment::RetryCount {
    std::uint64_t m_requests = 0;
    std::uint64_t m_retries = 0;
};

std::string_view attemptFaultName(AttemptFault fault)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(AttemptFault::Count)> names { "none",
        "kill-backend", "drain-backend", "lie-in-report", "cold-backend", "shed-load", "silence-connections",
        "lose-answers", "delay-answers", "cross-answers", "lose-packets", "duplicate-packets", "pause-vm", "kill-vm" };
    return names.at(static_cast<std::size_t>(fault));
}

std::string_view attemptStepName(AttemptStep step)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(AttemptStep::Count)> names { "queued", "handed",
        "accepted", "running", "answered", "remembered" };
    return names.at(static_cast<std::size_t>(step));
}

std::uint64_t AttemptExperimentResult::violations() const
{
    return m_ranTwice + m_reportedNotRunButRan + m_wrongAnswers + m_startedLate + m_workAfterDrain
        + m_processesOverRetryBudget + m_unreported;
}

AttemptExperiment::AttemptExperiment(AttemptExperimentSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.m_seed)
{
    AttemptServerListener& listener = *this;
    for (std::uint32_t i = 0; i < c_serverCount; ++i) {
        const Endpoint endpoint { c_serverNetwork + i + 1, c_serverPort };
        m_endpoints.push_back(endpoint);
        m_servers.push_back(std::make_unique<AttemptServer>(endpoint, m_settings.m_seed + i, m_timeline, listener));
    }
    m_vms.resize(c_vmCount);
    for (VmIndex vm = 0; vm < c_vmCount; ++vm) {
        startVm(vm);
        tickRepeatedly(vm);
        probeRepeatedly(vm);
    }
    generateRequests();
}

AttemptExperiment::~AttemptExperiment() = default;

AttemptExperimentResult AttemptExperiment::run()
{
    m_timeline.runUntil(c_end);
    summarize();
    return m_result;
}

void AttemptExperiment::startVm(VmIndex vm)
{
    AttemptNetwork& network = *this;
    m_vms[vm].m_process = std::make_unique<AttemptFrontEnd>(
        vm, ++m_startedProcesses, m_settings.m_makeDecider(), m_endpoints, m_timeline, network);
    for (const auto& [backend, isDraining] : m_vms[vm].m_draining)
        m_vms[vm].m_process->declare(backend, isDraining);
}

void AttemptExperiment::runLater(VmIndex vm, Duration delay, Timeline::Action action)
{
    const std::uint64_t process = m_vms[vm].m_process ? m_vms[vm].m_process->process() : 0;
    m_timeline.after(delay, [this, vm, process, action = std::move(action)]() mutable {
        const Vm& targetVm = m_vms[vm];
        if (!targetVm.m_process || targetVm.m_process->process() != process)
            return;
        if (m_timeline.now() < targetVm.m_pausedUntil)
            runLater(vm, targetVm.m_pausedUntil - m_timeline.now(), std::move(action));
        else
            action();
    });
}

void AttemptExperiment::tickRepeatedly(VmIndex vm)
{
    runLater(vm, {}, [this, vm] { m_vms[vm].m_process->tick(); });
    m_timeline.after(c_tickInterval, [this, vm] { tickRepeatedly(vm); });
}

void AttemptExperiment::probeRepeatedly(VmIndex vm)
{
    for (const std::unique_ptr<AttemptServer>& server : m_servers)
        probe(vm, *server);
    m_timeline.after(c_probeInterval, [this, vm] { probeRepeatedly(vm); });
}

void AttemptExperiment::probe(VmIndex vm, AttemptServer& server)
{
    const ProbeSignal signal = server.isRunning() ? ProbeSignal::Good : ProbeSignal::NoAnswer;
    runLater(vm, c_reportDelay, [this, vm, backend = server.endpoint(), signal, report = server.report()] {
        m_vms[vm].m_process->recordProbe(backend, signal, report);
    });
}

void AttemptExperiment::generateRequests()
{
    const RequestId id { ++m_result.m_requests };
    CallerRequest& caller = m_requests[id];
    caller.m_request.m_id = id;
    caller.m_request.m_deadline
        = m_timeline.now() + c_minDeadline + drawDuration(m_random, c_deadlineSpreadMicroseconds);
    caller.m_request.m_isIdempotent = m_random.chance(c_idempotentShare);
    const VmIndex vm = m_random.below(c_vmCount);
    sendRequest(id, vm, false);
    if (m_random.chance(c_duplicatedShare))
        sendRequest(id, vm, false);
    scheduleCallerActions(id);
    const std::chrono::duration<double> gap { m_random.exponentialSeconds(c_requestsPerSecond) };
    if (m_timeline.now() < c_arrivalsEnd)
        m_timeline.after(std::chrono::duration_cast<Duration>(gap), [this] { generateRequests(); });
}

void AttemptExperiment::scheduleCallerActions(RequestId request)
{
    if (m_random.chance(c_cancelledShare))
        m_timeline.after(c_callerTimeout / 16, [this, request] { cancelByCaller(request); });
    if (m_random.chance(c_repeatedShare))
        m_timeline.after(c_callerTimeout, [this, request] { repeatThroughOtherVm(request); });
}

void AttemptExperiment::sendRequest(RequestId request, VmIndex vm, bool isRepeat)
{
    CallerRequest& caller = m_requests[request];
    caller.m_vm = vm;
    Request sent = caller.m_request;
    sent.m_isRepeat = isRepeat && m_settings.m_marksRepeats;
    if (!m_vms[vm].m_process) {
        m_timeline.after(c_lossDetectionTime, [this, request] { repeatThroughOtherVm(request); });
        return;
    }
    runLater(vm, c_oneWayDelay, [this, vm, sent, connection = caller.m_connection] {
        ++m_retries[m_vms[vm].m_process->process()].m_requests;
        m_vms[vm].m_process->receive(sent, connection);
    });
}

/// Closes the caller's connection and repeats the request with the same identity through another entry VM.
void AttemptExperiment::repeatThroughOtherVm(RequestId request)
{
    CallerRequest& caller = m_requests[request];
    if (caller.m_isFinished)
        return;
    ++caller.m_connection;
    const VmIndex previousVm = caller.m_vm;
    if (m_vms[previousVm].m_process)
        runLater(
            previousVm, c_oneWayDelay, [this, previousVm, request] { m_vms[previousVm].m_process->cancel(request); });
    sendRequest(request, (previousVm + 1) % c_vmCount, true);
}

void AttemptExperiment::cancelByCaller(RequestId request)
{
    CallerRequest& caller = m_requests[request];
    if (caller.m_isFinished)
        return;
    caller.m_isAbandoned = true;
    const VmIndex vm = caller.m_vm;
    if (m_vms[vm].m_process)
        runLater(vm, c_oneWayDelay, [this, vm, request] { m_vms[vm].m_process->cancel(request); });
}

void AttemptExperiment::recordQueued(VmIndex vm, RequestId request)
{
    reachStep(AttemptStep::Queued, request, vm, std::nullopt);
}

void AttemptExperiment::send(const DispatchedAttempt& attempt)
{
    const Instant now = m_timeline.now();
    if (now >= attempt.m_deadline)
        ++m_result.m_startedLate;
    if (attempt.m_attempt.m_number > 0)
        ++m_retries[attempt.m_process].m_retries;
    const auto drained = m_drainStartedAt.find(attempt.m_backend);
    if (drained != m_drainStartedAt.end() && now >= drained->second + c_drainTimeLimit
        && now >= m_vms[attempt.m_vm].m_pausedUntil + c_drainTimeLimit)
        ++m_result.m_workAfterDrain;
    if (isDelivered(attempt)) {
        for (std::size_t copy = drawCopies(); copy > 0; --copy)
            m_timeline.after(c_oneWayDelay, [this, attempt] { serverAt(attempt.m_backend).receive(attempt); });
    }
    reachStep(AttemptStep::Dispatched, attempt.m_attempt.m_request, attempt.m_vm, attempt.m_backend);
}

void AttemptExperiment::sendCancel(AttemptId attempt, Endpoint backend)
{
    m_timeline.after(c_oneWayDelay, [this, attempt, backend] { serverAt(backend).cancel(attempt); });
}

void AttemptExperiment::accepted(const DispatchedAttempt& attempt)
{
    transmit({ ServerMessage::Kind::Accepted, attempt.m_attempt, attempt }, c_oneWayDelay);
    reachStep(AttemptStep::Accepted, attempt.m_attempt.m_request, attempt.m_vm, attempt.m_backend);
}

void AttemptExperiment::refused(const DispatchedAttempt& attempt)
{
    transmit({ ServerMessage::Kind::Refused, attempt.m_attempt, attempt }, c_oneWayDelay);
}

void AttemptExperiment::shed(const DispatchedAttempt& attempt)
{
    transmit({ ServerMessage::Kind::Shed, attempt.m_attempt, attempt }, c_oneWayDelay);
}

void AttemptExperiment::started(const DispatchedAttempt& attempt)
{
    if (m_timeline.now() >= attempt.m_deadline)
        ++m_result.m_startedLate;
    ++m_requests[attempt.m_attempt.m_request].m_runs;
    reachStep(AttemptStep::Running, attempt.m_attempt.m_request, attempt.m_vm, attempt.m_backend);
}

void AttemptExperiment::answered(const DispatchedAttempt& attempt, bool isComplete)
{
    sendAnswer({ ServerMessage::Kind::Answer, attempt.m_attempt, attempt, isComplete });
    reachStep(AttemptStep::Answered, attempt.m_attempt.m_request, attempt.m_vm, attempt.m_backend);
}

void AttemptExperiment::lost(const DispatchedAttempt& attempt)
{
    deliver({ ServerMessage::Kind::Lost, attempt.m_attempt, attempt });
}

void AttemptExperiment::sendAnswer(const ServerMessage& answer)
{
    const Instant now = m_timeline.now();
    const bool isFaulty = answer.m_connection.m_backend == m_faultyServer;
    if (isFaulty && now < m_answerLossEnds)
        return;
    if (isFaulty && now < m_answerDelayEnds)
        transmit(answer, drawDuration(m_random, c_maxAnswerDelayMicroseconds));
    else if (now >= m_swapEnds || !swapAnswer(answer))
        transmit(answer, c_oneWayDelay);
}

/// Holds an answer until the next one, then sends each on the connection of the other. False: the caller of this
/// function has to send the answer unchanged.
bool AttemptExperiment::swapAnswer(const ServerMessage& answer)
{
    if (!m_heldAnswer) {
        m_heldAnswer = answer;
        m_timeline.after(c_swapTimeout, [this, heldAttempt = answer.m_namedAttempt] {
            if (m_heldAnswer && m_heldAnswer->m_namedAttempt == heldAttempt)
                transmit(*std::exchange(m_heldAnswer, std::nullopt), c_oneWayDelay);
        });
        return true;
    }
    ServerMessage one = *std::exchange(m_heldAnswer, std::nullopt);
    ServerMessage other = answer;
    if (one.m_connection.m_vm != other.m_connection.m_vm) {
        transmit(one, c_oneWayDelay);
        return false;
    }
    std::swap(one.m_connection, other.m_connection);
    transmit(one, c_oneWayDelay);
    transmit(other, c_oneWayDelay);
    return true;
}

void AttemptExperiment::transmit(const ServerMessage& message, Duration delay)
{
    m_timeline.after(delay, [this, message] {
        if (!isDelivered(message.m_connection))
            return;
        deliver(message);
        if (drawCopies() > 1)
            m_timeline.after(
                drawDuration(m_random, c_maxDuplicateDelayMicroseconds), [this, message] { deliver(message); });
    });
}

void AttemptExperiment::deliver(const ServerMessage& message)
{
    const VmIndex vm = message.m_connection.m_vm;
    const Duration delay = message.m_kind == ServerMessage::Kind::Lost ? c_lossDetectionTime : Duration {};
    if (m_vms[vm].m_process && m_vms[vm].m_process->process() == message.m_connection.m_process)
        runLater(vm, delay, [this, vm, message] { m_vms[vm].m_process->receive(message); });
}

bool AttemptExperiment::isDelivered(const DispatchedAttempt& connection)
{
    const auto stalled = m_stalledBefore.find(connection.m_backend);
    if (stalled != m_stalledBefore.end() && connection.m_dispatchedAt <= stalled->second)
        return false;
    return m_timeline.now() >= m_lossEnds || !m_random.chance(c_lossShare);
}

std::size_t AttemptExperiment::drawCopies()
{
    return m_timeline.now() < m_duplicationEnds && m_random.chance(c_duplicationShare) ? 2 : 1;
}

AttemptServer& AttemptExperiment::serverAt(Endpoint endpoint)
{
    const auto position = std::ranges::find(m_endpoints, endpoint);
    return *m_servers.at(static_cast<std::size_t>(position - m_endpoints.begin()));
}

void AttemptExperiment::reportOutcome(
    CallerConnection connection, const AttemptDecision& decision, const ServerMessage* answer)
{
    const RequestId request = decision.m_attempt.m_request;
    CallerRequest& caller = m_requests[request];
    // A caller that repeated its request through another entry VM has closed this connection.
    if (caller.m_isFinished || caller.m_connection != connection)
        return;
    caller.m_isFinished = true;
    caller.m_reportedDirective = decision.m_directive;
    if (decision.m_directive != AttemptDirective::Deliver)
        return;
    checkAnswer(request, answer);
    reachStep(AttemptStep::Delivered, request, caller.m_vm, answer->m_connection.m_backend);
}

void AttemptExperiment::checkAnswer(RequestId request, const ServerMessage* answer)
{
    const bool isCorrect = answer && answer->m_namedAttempt.m_request == request && answer->m_isComplete;
    m_result.m_wrongAnswers += isCorrect ? 0 : 1;
}

void AttemptExperiment::reachStep(AttemptStep step, RequestId request, VmIndex vm, std::optional<Endpoint> backend)
{
    if (m_result.m_injected >= m_settings.m_injections.size() || m_timeline.now() < c_firstInjectionAt)
        return;
    const AttemptFaultInjection next = m_settings.m_injections[m_result.m_injected];
    const bool isTarget = m_result.m_injected > 0 && request == m_targetRequest;
    const bool isEligible = !m_requests[request].m_request.m_isIdempotent && m_timeline.now() >= m_anyTargetAt;
    if (step != next.m_step || (!isTarget && !isEligible))
        return;
    ++m_result.m_injected;
    m_targetRequest = request;
    m_anyTargetAt = m_timeline.now() + drawDuration(m_random, c_maxInjectionGapMicroseconds);
    const Endpoint targetBackend = backend ? *backend : m_endpoints[m_random.below(m_endpoints.size())];
    // Deferred until the current call has returned: the fault may destroy objects that the call uses.
    m_timeline.after({}, [this, next, vm, targetBackend] { injectFault(next.m_fault, vm, serverAt(targetBackend)); });
}

void AttemptExperiment::injectFault(AttemptFault fault, VmIndex vm, AttemptServer& server)
{
    const Instant now = m_timeline.now();
    m_faultyServer = server.endpoint();
    switch (fault) {
    case AttemptFault::StallConnections:
        m_stalledBefore[server.endpoint()] = now;
        return;
    case AttemptFault::LoseAnswers:
        m_answerLossEnds = now + c_answerFaultTime;
        return;
    case AttemptFault::DelayAnswers:
        m_answerDelayEnds = now + c_answerFaultTime;
        return;
    case AttemptFault::SwapAnswers:
        m_swapEnds = now + c_swapTime;
        return;
    case AttemptFault::LosePackets:
        m_lossEnds = now + c_packetFaultTime;
        return;
    case AttemptFault::DuplicatePackets:
        m_duplicationEnds = now + c_packetFaultTime;
        return;
    case AttemptFault::PauseVm:
        pauseVm(vm);
        return;
    case AttemptFault::KillVm:
        killVm(vm);
        return;
    default:
        injectServerFault(fault, server);
    }
}

void AttemptExperiment::injectServerFault(AttemptFault fault, AttemptServer& server)
{
    const Instant now = m_timeline.now();
    switch (fault) {
    case AttemptFault::KillBackend:
        server.kill();
        m_timeline.after(c_backendRestart, [&server] { server.restart(); });
        return;
    case AttemptFault::DrainBackend:
        drain(server.endpoint());
        return;
    case AttemptFault::FalseIdleReport:
        server.reportIdleUntil(now + c_falseReportTime);
        return;
    case AttemptFault::ColdBackend:
        server.slowDownUntil(now + c_coldTime);
        return;
    case AttemptFault::ShedLoad:
        server.shedUntil(now + c_sheddingTime);
        return;
    default:
        return;
    }
}

void AttemptExperiment::drain(Endpoint backend)
{
    if (!m_drainStartedAt.try_emplace(backend, m_timeline.now()).second || !m_settings.m_announcesDrains)
        return;
    for (VmIndex vm = 0; vm < m_vms.size(); ++vm) {
        const Duration lag = drawDuration(m_random, c_configurationSkewMicroseconds);
        m_timeline.after(lag, [this, vm, backend] {
            m_vms[vm].m_draining[backend] = true;
            if (m_vms[vm].m_process)
                runLater(vm, {}, [this, vm, backend] { m_vms[vm].m_process->declare(backend, true); });
        });
    }
}

void AttemptExperiment::pauseVm(VmIndex vm)
{
    m_vms[vm].m_pausedUntil = m_timeline.now() + c_pauseTime;
}

void AttemptExperiment::killVm(VmIndex vm)
{
    m_vms[vm].m_process.reset();
    m_vms[vm].m_pausedUntil = {};
    m_timeline.after(c_vmRestart, [this, vm] {
        if (!m_vms[vm].m_process)
            startVm(vm);
    });
    for (const auto& [id, caller] : m_requests) {
        if (!caller.m_isFinished && caller.m_vm == vm)
            m_timeline.after(c_lossDetectionTime, [this, request = id, vm] {
                if (m_requests[request].m_vm == vm)
                    repeatThroughOtherVm(request);
            });
    }
}

void AttemptExperiment::summarize()
{
    for (const auto& [id, caller] : m_requests) {
        m_result.m_answered += caller.m_reportedDirective == AttemptDirective::Deliver ? 1 : 0;
        m_result.m_reportedNotRun += caller.m_reportedDirective == AttemptDirective::ReportNotRun ? 1 : 0;
        m_result.m_reportedUnknown += caller.m_reportedDirective == AttemptDirective::ReportUnknown ? 1 : 0;
        m_result.m_abandoned += caller.m_isAbandoned ? 1 : 0;
        m_result.m_ranTwice += !caller.m_request.m_isIdempotent && caller.m_runs > 1 ? 1 : 0;
        m_result.m_reportedNotRunButRan
            += caller.m_reportedDirective == AttemptDirective::ReportNotRun && caller.m_runs > 0 ? 1 : 0;
        m_result.m_unreported += !caller.m_isFinished && !caller.m_isAbandoned ? 1 : 0;
    }
    const RetryBudget::Parameters budget;
    for (const auto& [process, count] : m_retries) {
        const double allowed = budget.m_capacity + budget.m_ratio * static_cast<double>(count.m_requests);
        m_result.m_processesOverRetryBudget += static_cast<double>(count.m_retries) > allowed ? 1 : 0;
    }
}

} // namespace cuminrelay
