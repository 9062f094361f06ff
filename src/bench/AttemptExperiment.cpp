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
    constexpr Instant c_firstStrike { std::chrono::seconds { 3 } };
    constexpr Instant c_arrivalsEnd { std::chrono::seconds { 9 } };
    constexpr Instant c_end { std::chrono::seconds { 18 } };

    constexpr Duration c_oneWay = std::chrono::milliseconds { 1 };
    constexpr Duration c_tickInterval = std::chrono::milliseconds { 20 };
    constexpr Duration c_probeInterval = std::chrono::seconds { 1 };
    constexpr Duration c_reportDelay = std::chrono::milliseconds { 200 };
    constexpr Duration c_lossNoticed = std::chrono::milliseconds { 100 };

    constexpr double c_idempotentShare = 0.3;
    constexpr double c_copiedShare = 0.05; ///< of requests; sent twice to their entry VM
    constexpr double c_cancelledShare = 0.03;
    constexpr double c_impatientShare = 0.2;
    constexpr Duration c_patience = std::chrono::milliseconds { 800 };
    constexpr Duration c_shortestDeadline = std::chrono::milliseconds { 400 };
    constexpr std::uint64_t c_deadlineSpreadMicroseconds = 4'000'000;

    /// Time after which a draining backend server gets no new work.
    constexpr Duration c_drainInForce = std::chrono::seconds { 3 };
    constexpr std::uint64_t c_configurationSkewMicroseconds = 2'000'000;

    constexpr Duration c_backendRestart = std::chrono::seconds { 4 };
    constexpr Duration c_vmRestart = std::chrono::milliseconds { 300 };
    constexpr Duration c_pause = std::chrono::seconds { 3 };
    constexpr Duration c_lying = std::chrono::seconds { 5 };
    constexpr Duration c_cold = std::chrono::seconds { 3 };
    constexpr Duration c_shedding = std::chrono::seconds { 2 };
    constexpr Duration c_answerFault = std::chrono::seconds { 1 };
    constexpr Duration c_crossing = std::chrono::seconds { 2 };
    constexpr Duration c_crossingWait = std::chrono::milliseconds { 100 };
    constexpr Duration c_packetFault = std::chrono::seconds { 2 };
    constexpr double c_lossShare = 0.2;
    constexpr double c_copyShare = 0.33;
    constexpr std::uint64_t c_longestAnswerDelayMicroseconds = 3'000'000;
    constexpr std::uint64_t c_longestCopyDelayMicroseconds = 200'000;
    constexpr std::uint64_t c_longestGapMicroseconds = 2'000'000;

    Duration drawUpTo(Random& random, std::uint64_t microseconds)
    {
        return Duration { static_cast<std::int64_t>(random.below(microseconds)) };
    }

} // namespace

struct AttemptExperiment::Vm {
    std::unique_ptr<AttemptFrontEnd> m_process; ///< null while no process runs
    Deadline m_pausedUntil {};
    std::map<Endpoint, bool> m_draining; ///< as stored by its control process
};

/// A caller's request and its outcome.
struct AttemptExperiment::CallerRequest {
    Request m_request;
    VmIndex m_vm = 0; ///< the entry VM that the caller uses
    CallerConnection m_connection = 0; ///< the newest; the caller closes the previous one
    bool m_isOver = false; ///< the caller has an outcome
    bool m_isAbandoned = false;
    AttemptDirective m_told = AttemptDirective::Wait;
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
    return m_ranTwice + m_refusedButRan + m_wrongAnswers + m_startedLate + m_workAfterDrain + m_retriesOverBudget
        + m_untold;
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
    arriveRepeatedly();
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
        vm, ++m_processes, m_settings.m_makeDecider(), m_endpoints, m_timeline, network);
    for (const auto& [backend, isDraining] : m_vms[vm].m_draining)
        m_vms[vm].m_process->declare(backend, isDraining);
}

void AttemptExperiment::wakeLater(VmIndex vm, Duration delay, Timeline::Action action)
{
    const std::uint64_t process = m_vms[vm].m_process ? m_vms[vm].m_process->process() : 0;
    m_timeline.after(delay, [this, vm, process, action = std::move(action)]() mutable {
        const Vm& woken = m_vms[vm];
        if (!woken.m_process || woken.m_process->process() != process)
            return;
        if (m_timeline.now() < woken.m_pausedUntil)
            wakeLater(vm, woken.m_pausedUntil - m_timeline.now(), std::move(action));
        else
            action();
    });
}

void AttemptExperiment::tickRepeatedly(VmIndex vm)
{
    wakeLater(vm, {}, [this, vm] { m_vms[vm].m_process->tick(); });
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
    wakeLater(vm, c_reportDelay, [this, vm, backend = server.endpoint(), signal, report = server.report()] {
        m_vms[vm].m_process->recordProbe(backend, signal, report);
    });
}

void AttemptExperiment::arriveRepeatedly()
{
    const RequestId id { ++m_result.m_requests };
    CallerRequest& caller = m_requests[id];
    caller.m_request.m_id = id;
    caller.m_request.m_deadline
        = m_timeline.now() + c_shortestDeadline + drawUpTo(m_random, c_deadlineSpreadMicroseconds);
    caller.m_request.m_isIdempotent = m_random.chance(c_idempotentShare);
    const VmIndex vm = m_random.below(c_vmCount);
    sendRequest(id, vm, false);
    if (m_random.chance(c_copiedShare))
        sendRequest(id, vm, false);
    planCallersPatience(id);
    const std::chrono::duration<double> gap { m_random.exponentialSeconds(c_requestsPerSecond) };
    if (m_timeline.now() < c_arrivalsEnd)
        m_timeline.after(std::chrono::duration_cast<Duration>(gap), [this] { arriveRepeatedly(); });
}

void AttemptExperiment::planCallersPatience(RequestId request)
{
    if (m_random.chance(c_cancelledShare))
        m_timeline.after(c_patience / 16, [this, request] { cancelByCaller(request); });
    if (m_random.chance(c_impatientShare))
        m_timeline.after(c_patience, [this, request] { repeatElsewhere(request); });
}

void AttemptExperiment::sendRequest(RequestId request, VmIndex vm, bool isRepeat)
{
    CallerRequest& caller = m_requests[request];
    caller.m_vm = vm;
    Request sent = caller.m_request;
    sent.m_isRepeat = isRepeat && m_settings.m_marksRepeats;
    if (!m_vms[vm].m_process) {
        m_timeline.after(c_lossNoticed, [this, request] { repeatElsewhere(request); });
        return;
    }
    wakeLater(vm, c_oneWay, [this, vm, sent, connection = caller.m_connection] {
        ++m_retries[m_vms[vm].m_process->process()].m_requests;
        m_vms[vm].m_process->receive(sent, connection);
    });
}

/// Closes the caller's connection and repeats the request with the same identity through another entry VM.
void AttemptExperiment::repeatElsewhere(RequestId request)
{
    CallerRequest& caller = m_requests[request];
    if (caller.m_isOver)
        return;
    ++caller.m_connection;
    const VmIndex left = caller.m_vm;
    if (m_vms[left].m_process)
        wakeLater(left, c_oneWay, [this, left, request] { m_vms[left].m_process->cancel(request); });
    sendRequest(request, (left + 1) % c_vmCount, true);
}

void AttemptExperiment::cancelByCaller(RequestId request)
{
    CallerRequest& caller = m_requests[request];
    if (caller.m_isOver)
        return;
    caller.m_isAbandoned = true;
    const VmIndex vm = caller.m_vm;
    if (m_vms[vm].m_process)
        wakeLater(vm, c_oneWay, [this, vm, request] { m_vms[vm].m_process->cancel(request); });
}

void AttemptExperiment::noteQueued(VmIndex vm, RequestId request)
{
    reach(AttemptStep::Queued, request, vm, std::nullopt);
}

void AttemptExperiment::send(const HandedAttempt& attempt)
{
    const Instant now = m_timeline.now();
    if (now >= attempt.m_deadline)
        ++m_result.m_startedLate;
    if (attempt.m_attempt.m_number > 0)
        ++m_retries[attempt.m_process].m_retries;
    const auto drained = m_drainedAt.find(attempt.m_backend);
    if (drained != m_drainedAt.end() && now >= drained->second + c_drainInForce
        && now >= m_vms[attempt.m_vm].m_pausedUntil + c_drainInForce)
        ++m_result.m_workAfterDrain;
    if (passes(attempt)) {
        for (std::size_t copy = copies(); copy > 0; --copy)
            m_timeline.after(c_oneWay, [this, attempt] { serverAt(attempt.m_backend).receive(attempt); });
    }
    reach(AttemptStep::Handed, attempt.m_attempt.m_request, attempt.m_vm, attempt.m_backend);
}

void AttemptExperiment::sendCancel(AttemptId attempt, Endpoint backend)
{
    m_timeline.after(c_oneWay, [this, attempt, backend] { serverAt(backend).cancel(attempt); });
}

void AttemptExperiment::accepted(const HandedAttempt& attempt)
{
    transmit({ ServerMessage::Kind::Accepted, attempt.m_attempt, attempt }, c_oneWay);
    reach(AttemptStep::Accepted, attempt.m_attempt.m_request, attempt.m_vm, attempt.m_backend);
}

void AttemptExperiment::refused(const HandedAttempt& attempt)
{
    transmit({ ServerMessage::Kind::Refused, attempt.m_attempt, attempt }, c_oneWay);
}

void AttemptExperiment::shed(const HandedAttempt& attempt)
{
    transmit({ ServerMessage::Kind::Shed, attempt.m_attempt, attempt }, c_oneWay);
}

void AttemptExperiment::started(const HandedAttempt& attempt)
{
    if (m_timeline.now() >= attempt.m_deadline)
        ++m_result.m_startedLate;
    ++m_requests[attempt.m_attempt.m_request].m_runs;
    reach(AttemptStep::Running, attempt.m_attempt.m_request, attempt.m_vm, attempt.m_backend);
}

void AttemptExperiment::answered(const HandedAttempt& attempt, bool isWhole)
{
    sendAnswer({ ServerMessage::Kind::Answer, attempt.m_attempt, attempt, isWhole });
    reach(AttemptStep::Answered, attempt.m_attempt.m_request, attempt.m_vm, attempt.m_backend);
}

void AttemptExperiment::lost(const HandedAttempt& attempt)
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
        transmit(answer, drawUpTo(m_random, c_longestAnswerDelayMicroseconds));
    else if (now >= m_crossingEnds || !crossAnswer(answer))
        transmit(answer, c_oneWay);
}

/// Holds an answer until the next one, then sends each on the connection of the other. False: the caller of this
/// function has to send the answer unchanged.
bool AttemptExperiment::crossAnswer(const ServerMessage& answer)
{
    if (!m_heldAnswer) {
        m_heldAnswer = answer;
        m_timeline.after(c_crossingWait, [this, named = answer.m_named] {
            if (m_heldAnswer && m_heldAnswer->m_named == named)
                transmit(*std::exchange(m_heldAnswer, std::nullopt), c_oneWay);
        });
        return true;
    }
    ServerMessage one = *std::exchange(m_heldAnswer, std::nullopt);
    ServerMessage other = answer;
    if (one.m_connection.m_vm != other.m_connection.m_vm) {
        transmit(one, c_oneWay);
        return false;
    }
    std::swap(one.m_connection, other.m_connection);
    transmit(one, c_oneWay);
    transmit(other, c_oneWay);
    return true;
}

void AttemptExperiment::transmit(const ServerMessage& message, Duration delay)
{
    m_timeline.after(delay, [this, message] {
        if (!passes(message.m_connection))
            return;
        deliver(message);
        if (copies() > 1)
            m_timeline.after(drawUpTo(m_random, c_longestCopyDelayMicroseconds), [this, message] { deliver(message); });
    });
}

void AttemptExperiment::deliver(const ServerMessage& message)
{
    const VmIndex vm = message.m_connection.m_vm;
    const Duration delay = message.m_kind == ServerMessage::Kind::Lost ? c_lossNoticed : Duration {};
    if (m_vms[vm].m_process && m_vms[vm].m_process->process() == message.m_connection.m_process)
        wakeLater(vm, delay, [this, vm, message] { m_vms[vm].m_process->receive(message); });
}

bool AttemptExperiment::passes(const HandedAttempt& connection)
{
    const auto silent = m_silentBefore.find(connection.m_backend);
    if (silent != m_silentBefore.end() && connection.m_handedAt <= silent->second)
        return false;
    return m_timeline.now() >= m_lossEnds || !m_random.chance(c_lossShare);
}

std::size_t AttemptExperiment::copies()
{
    return m_timeline.now() < m_duplicationEnds && m_random.chance(c_copyShare) ? 2 : 1;
}

AttemptServer& AttemptExperiment::serverAt(Endpoint endpoint)
{
    const auto position = std::ranges::find(m_endpoints, endpoint);
    return *m_servers.at(static_cast<std::size_t>(position - m_endpoints.begin()));
}

void AttemptExperiment::tell(CallerConnection connection, const AttemptDecision& decision, const ServerMessage* answer)
{
    const RequestId request = decision.m_attempt.m_request;
    CallerRequest& caller = m_requests[request];
    // A caller that repeated its request through another entry VM has closed this connection.
    if (caller.m_isOver || caller.m_connection != connection)
        return;
    caller.m_isOver = true;
    caller.m_told = decision.m_directive;
    if (decision.m_directive != AttemptDirective::Deliver)
        return;
    checkAnswer(request, answer);
    reach(AttemptStep::Remembered, request, caller.m_vm, answer->m_connection.m_backend);
}

void AttemptExperiment::checkAnswer(RequestId request, const ServerMessage* answer)
{
    const bool isOwn = answer && answer->m_named.m_request == request && answer->m_isWhole;
    m_result.m_wrongAnswers += isOwn ? 0 : 1;
}

void AttemptExperiment::reach(AttemptStep step, RequestId request, VmIndex vm, std::optional<Endpoint> backend)
{
    if (m_result.m_struck >= m_settings.m_strikes.size() || m_timeline.now() < c_firstStrike)
        return;
    const AttemptStrike next = m_settings.m_strikes[m_result.m_struck];
    const bool isSubject = m_result.m_struck > 0 && request == m_subject;
    const bool isFresh = !m_requests[request].m_request.m_isIdempotent && m_timeline.now() >= m_anySubjectAt;
    if (step != next.m_step || (!isSubject && !isFresh))
        return;
    ++m_result.m_struck;
    m_subject = request;
    m_anySubjectAt = m_timeline.now() + drawUpTo(m_random, c_longestGapMicroseconds);
    const Endpoint struck = backend ? *backend : m_endpoints[m_random.below(m_endpoints.size())];
    // Deferred until the current call has returned: the fault may destroy objects that the call uses.
    m_timeline.after({}, [this, next, vm, struck] { strike(next.m_fault, vm, serverAt(struck)); });
}

void AttemptExperiment::strike(AttemptFault fault, VmIndex vm, AttemptServer& server)
{
    const Instant now = m_timeline.now();
    m_faultyServer = server.endpoint();
    switch (fault) {
    case AttemptFault::SilenceConnections:
        m_silentBefore[server.endpoint()] = now;
        return;
    case AttemptFault::LoseAnswers:
        m_answerLossEnds = now + c_answerFault;
        return;
    case AttemptFault::DelayAnswers:
        m_answerDelayEnds = now + c_answerFault;
        return;
    case AttemptFault::CrossAnswers:
        m_crossingEnds = now + c_crossing;
        return;
    case AttemptFault::LosePackets:
        m_lossEnds = now + c_packetFault;
        return;
    case AttemptFault::DuplicatePackets:
        m_duplicationEnds = now + c_packetFault;
        return;
    case AttemptFault::PauseVm:
        pauseVm(vm);
        return;
    case AttemptFault::KillVm:
        killVm(vm);
        return;
    default:
        strikeServer(fault, server);
    }
}

void AttemptExperiment::strikeServer(AttemptFault fault, AttemptServer& server)
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
    case AttemptFault::LieInReport:
        server.lieUntil(now + c_lying);
        return;
    case AttemptFault::ColdBackend:
        server.slowDownUntil(now + c_cold);
        return;
    case AttemptFault::ShedLoad:
        server.shedUntil(now + c_shedding);
        return;
    default:
        return;
    }
}

void AttemptExperiment::drain(Endpoint backend)
{
    if (!m_drainedAt.try_emplace(backend, m_timeline.now()).second || !m_settings.m_tellsDrains)
        return;
    for (VmIndex vm = 0; vm < m_vms.size(); ++vm) {
        const Duration lag = drawUpTo(m_random, c_configurationSkewMicroseconds);
        m_timeline.after(lag, [this, vm, backend] {
            m_vms[vm].m_draining[backend] = true;
            if (m_vms[vm].m_process)
                wakeLater(vm, {}, [this, vm, backend] { m_vms[vm].m_process->declare(backend, true); });
        });
    }
}

void AttemptExperiment::pauseVm(VmIndex vm)
{
    m_vms[vm].m_pausedUntil = m_timeline.now() + c_pause;
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
        if (!caller.m_isOver && caller.m_vm == vm)
            m_timeline.after(c_lossNoticed, [this, request = id, vm] {
                if (m_requests[request].m_vm == vm)
                    repeatElsewhere(request);
            });
    }
}

void AttemptExperiment::summarize()
{
    for (const auto& [id, caller] : m_requests) {
        m_result.m_answered += caller.m_told == AttemptDirective::Deliver ? 1 : 0;
        m_result.m_reportedNotRun += caller.m_told == AttemptDirective::ReportNotRun ? 1 : 0;
        m_result.m_reportedUnknown += caller.m_told == AttemptDirective::ReportUnknown ? 1 : 0;
        m_result.m_abandoned += caller.m_isAbandoned ? 1 : 0;
        m_result.m_ranTwice += !caller.m_request.m_isIdempotent && caller.m_runs > 1 ? 1 : 0;
        m_result.m_refusedButRan += caller.m_told == AttemptDirective::ReportNotRun && caller.m_runs > 0 ? 1 : 0;
        m_result.m_untold += !caller.m_isOver && !caller.m_isAbandoned ? 1 : 0;
    }
    const RetryBudget::Parameters budget;
    for (const auto& [process, count] : m_retries) {
        const double allowed = budget.m_capacity + budget.m_ratio * static_cast<double>(count.m_requests);
        m_result.m_retriesOverBudget += static_cast<double>(count.m_retries) > allowed ? 1 : 0;
    }
}

} // namespace cuminrelay
