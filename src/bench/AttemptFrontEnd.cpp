#include "bench/AttemptFrontEnd.h"

#include "base/Hash.h"

#include <array>

namespace cuminrelay {

namespace {

    constexpr std::uint32_t c_connectionLimit = 2000;
    constexpr std::size_t c_frontEnds = 2;
    constexpr std::size_t c_maxExpiredPerCall = 64;
    constexpr std::uint64_t c_placementSeed = 0x617474656d707473;
    // Early enough that backend servers have finished their cold start when a run begins.
    constexpr Instant c_declaredAt { -std::chrono::hours { 1 } };

    /// From the decision to dispatch a request until it is sent.
    constexpr Duration c_dispatchDelay = std::chrono::microseconds { 500 };

} // namespace

AttemptFrontEnd::AttemptFrontEnd(VmIndex vm, std::uint64_t process, std::unique_ptr<AttemptDecider> decider,
    std::span<const Endpoint> backends, const Timeline& timeline, AttemptNetwork& network)
    : m_vm(vm)
    , m_process(process)
    , m_decider(std::move(decider))
    , m_backends(backends.begin(), backends.end())
    , m_timeline(timeline)
    , m_network(network)
{
    m_backendStatuses.setOwnerCount(c_frontEnds);
    std::vector<ProbedBackend> probed;
    for (const Endpoint backend : m_backends) {
        m_backendStatuses.declare(backend, AttemptServer::s_slots, c_connectionLimit, false, c_declaredAt);
        probed.push_back({ backend, "asahikawa-a" });
    }
    m_health.assign(probed);
}

void AttemptFrontEnd::receive(const Request& request, CallerConnection connection)
{
    m_connections[request.m_id] = connection;
    const AttemptDecision opened = m_decider->open(request, m_timeline.now());
    if (opened.m_directive != AttemptDirective::Dispatch) {
        execute(opened, nullptr);
        return;
    }
    m_deadlines[request.m_id] = request.m_deadline;
    // The ledger records the request before admission, so that no copy of a refused request runs later.
    if (m_admission.admit(m_backends, m_backendStatuses, c_frontEnds, m_timeline.now()) != Admission::Admitted) {
        cancel(request.m_id);
        return;
    }
    execute(opened, nullptr);
}

void AttemptFrontEnd::receive(const ServerMessage& message)
{
    if (message.m_kind == ServerMessage::Kind::Accepted)
        m_backendStatuses.recordAnsweredOpening(message.m_connection.m_backend);
    execute(decide(message), &message);
}

AttemptDecision AttemptFrontEnd::decide(const ServerMessage& message)
{
    const AttemptEvent event { message.m_namedAttempt, message.m_connection.m_attempt, message.m_connection.m_backend };
    switch (message.m_kind) {
    case ServerMessage::Kind::Accepted:
        return m_decider->recordAccepted(event);
    case ServerMessage::Kind::Refused:
        return m_decider->recordRefused(event, m_timeline.now());
    case ServerMessage::Kind::Shed:
        return m_decider->recordShed(event, m_timeline.now());
    case ServerMessage::Kind::Answer:
        return m_decider->recordAnswered(event, message.m_isComplete, m_timeline.now());
    case ServerMessage::Kind::Lost:
        break;
    }
    return m_decider->recordLost(event, m_timeline.now());
}

void AttemptFrontEnd::execute(const AttemptDecision& decision, const ServerMessage* answer)
{
    if (decision.m_cancelTarget != Endpoint {})
        m_network.sendCancel(decision.m_attempt, decision.m_cancelTarget);
    const RequestId request = decision.m_attempt.m_request;
    switch (decision.m_directive) {
    case AttemptDirective::Wait:
    case AttemptDirective::Drop:
        return;
    case AttemptDirective::Dispatch:
        close(request);
        m_network.runLater(m_vm, c_dispatchDelay, [this, request] { dispatch(request); });
        m_network.recordQueued(m_vm, request);
        return;
    case AttemptDirective::Deliver:
    case AttemptDirective::ReportNotRun:
    case AttemptDirective::ReportUnknown:
        close(request);
        m_network.reportOutcome(m_connections[request], decision, answer);
        return;
    }
}

void AttemptFrontEnd::dispatch(RequestId request)
{
    const Instant now = m_timeline.now();
    const std::uint64_t hash = hashPair(request.m_value, c_placementSeed);
    const Endpoint preferred = m_backends[hash % m_backends.size()];
    const std::optional<Endpoint> chosen = m_placement.choose({ m_backends, preferred, hash }, m_backendStatuses, now);
    if (!chosen) {
        cancel(request);
        return;
    }
    const AttemptDecision decision = m_decider->dispatch(request, *chosen, now);
    if (decision.m_directive != AttemptDirective::Wait) {
        execute(decision, nullptr);
        return;
    }
    m_backendStatuses.recordOpened(*chosen, now);
    m_placements[request] = *chosen;
    m_network.send({ decision.m_attempt, *chosen, m_deadlines[request], now, m_vm, m_process });
}

void AttemptFrontEnd::close(RequestId request)
{
    const auto found = m_placements.find(request);
    if (found == m_placements.end())
        return;
    m_backendStatuses.recordClosed(found->second, false, m_timeline.now());
    m_placements.erase(found);
}

void AttemptFrontEnd::recordProbe(Endpoint backend, ProbeSignal signal, BackendReport report)
{
    m_health.record(backend, signal, m_timeline.now());
    report.m_health = m_health.health(backend);
    m_backendStatuses.apply(report);
}

void AttemptFrontEnd::declare(Endpoint backend, bool isDraining)
{
    m_backendStatuses.declare(backend, AttemptServer::s_slots, c_connectionLimit, isDraining, m_timeline.now());
}

void AttemptFrontEnd::tick()
{
    std::array<AttemptDecision, c_maxExpiredPerCall> decisions {};
    std::size_t count = decisions.size();
    while (count == decisions.size()) {
        count = m_decider->expire(decisions, m_timeline.now());
        for (const AttemptDecision& decision : std::span { decisions }.first(count))
            execute(decision, nullptr);
    }
}

} // namespace cuminrelay
