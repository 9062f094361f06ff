#include "bench/ReplayExperiment.h"

#include <algorithm>
#include <array>

namespace cuminrelay {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::uint32_t c_vmNetwork = 0x0a000000;
    constexpr std::uint32_t c_callerNetwork = 0x64400000;
    constexpr std::uint16_t c_peersPort = 4001;

    constexpr Duration c_oneWayDelay = milliseconds { 1 }; ///< caller to backend server
    constexpr Duration c_tickInterval = milliseconds { 25 };

    // Load of a service with 15 backend servers: live feeds and short forms.
    constexpr std::size_t c_feedCallers = 90;
    constexpr double c_feedsPerSecond = 3; ///< requests per second of a caller that is not waiting
    constexpr double c_shortPerSecond = 73;
    constexpr double c_feedWorkSeconds = 0.019;
    constexpr double c_shortWorkSeconds = 0.025;
    constexpr double c_longFlowSeconds = 8;
    constexpr Duration c_feedObjective = milliseconds { 120 };
    constexpr Duration c_shortObjective = milliseconds { 150 };
    constexpr Duration c_deadline = milliseconds { 800 };
    constexpr std::uint16_t c_requestBytes = 900;
    constexpr std::uint32_t c_answerBytes = 2'000;

    // Delays of retransmitted opening packets and data.
    constexpr std::array<Duration, 2> c_openingRetransmissionDelays { milliseconds { 200 }, milliseconds { 600 } };
    constexpr Duration c_firstRetransmissionDelay = milliseconds { 200 };

    constexpr Duration c_patternStart = seconds { 8 };
    constexpr Duration c_spikeDuration = seconds { 5 };
    constexpr std::size_t c_spikeFactor = 3;
    constexpr Duration c_unresponsiveDuration = seconds { 4 };
    constexpr std::size_t c_unresponsiveDivisor = 7;
    constexpr std::uint64_t c_stragglerDivisor = 50;
    constexpr double c_stragglerFactor = 40;

    constexpr Duration c_measuredFrom = seconds { 3 };
    constexpr Duration c_window = seconds { 2 };
    constexpr std::size_t c_minWindowRequests = 50;

    Duration secondsToDuration(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { value });
    }

    double inSeconds(Duration duration)
    {
        return std::chrono::duration<double> { duration }.count();
    }

    /// Returns the model of an idle backend server.
    BackendModel modelOf(const BackendServer& server)
    {
        return { server.m_tunnel, server.m_slots, server.m_connectionLimit };
    }

} // namespace

std::string_view loadPatternName(LoadPattern pattern)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(LoadPattern::Count)> s_names { "steady",
        "crest", "stragglers", "silent-peers", "dark-hosts" };
    return s_names[static_cast<std::size_t>(pattern)];
}

double ReplayResult::inObjective() const
{
    return m_requests ? 1 - static_cast<double>(m_late + m_failed) / static_cast<double>(m_requests) : 1;
}

ReplayExperiment::ReplayExperiment(ReplaySettings settings, const FlowExperiment::DesignFactory& makeDesign)
    : m_settings(std::move(settings))
    , m_random(m_settings.m_seed)
    , m_configuration(makeConfiguration(m_settings.m_profile))
{
    for (std::uint32_t i = 0; i < m_settings.m_profile.m_entryVms; ++i)
        m_vms.push_back({ c_vmNetwork + i + 1, c_peersPort });
    const std::string& service = m_settings.m_profile.m_services.front().m_name;
    std::erase_if(m_configuration.m_backendServers, [&service](const BackendServer& server) {
        return server.m_labels.at("app") != service || server.m_labels.at("tier") != "serving";
    });
    for (const BackendServer& server : m_configuration.m_backendServers) {
        m_backends.emplace(server.m_tunnel, SimulatedBackend { modelOf(server), false, 0 });
    }
    m_design = makeDesign(m_vms, *this);
}

ReplayResult ReplayExperiment::run()
{
    m_start = m_timeline.now();
    startVms();
    scheduleTicks();
    startCallers(c_feedCallers, m_settings.m_end);
    scheduleShortRequests();
    const LoadPattern pattern = m_settings.m_pattern;
    if (pattern == LoadPattern::LoadSpike || pattern == LoadPattern::UnreachablePeers) {
        m_timeline.at(m_start + c_patternStart,
            [this] { startCallers((c_spikeFactor - 1) * c_feedCallers, m_start + c_patternStart + c_spikeDuration); });
    }
    if (pattern == LoadPattern::UnresponsiveBackends) {
        m_timeline.at(m_start + c_patternStart, [this] { setUnresponsive(true); });
        m_timeline.at(m_start + c_patternStart + c_unresponsiveDuration, [this] { setUnresponsive(false); });
    }
    m_timeline.runUntil(m_settings.m_end);
    return summary();
}

bool ReplayExperiment::reaches(VmIndex, VmIndex)
{
    return m_settings.m_pattern != LoadPattern::UnreachablePeers;
}

VmIndex ReplayExperiment::vmAt(Endpoint peerEndpoint) const
{
    return peerEndpoint.m_address - c_vmNetwork - 1;
}

void ReplayExperiment::startVms()
{
    for (VmIndex vm = 0; vm < m_vms.size(); ++vm) {
        m_design->start(vm, m_timeline.now());
        m_design->installConfiguration(vm, m_configuration, m_timeline.now());
    }
}

void ReplayExperiment::scheduleTicks()
{
    for (VmIndex vm = 0; vm < m_vms.size(); ++vm)
        m_design->tick(vm, m_timeline.now());
    m_timeline.after(c_tickInterval, [this] { scheduleTicks(); });
}

bool ReplayExperiment::isInLoadSpike() const
{
    const bool hasLoadSpike
        = m_settings.m_pattern == LoadPattern::LoadSpike || m_settings.m_pattern == LoadPattern::UnreachablePeers;
    const Duration elapsed = m_timeline.now() - m_start;
    return hasLoadSpike && elapsed >= c_patternStart && elapsed < c_patternStart + c_spikeDuration;
}

/// Generates short requests, each over its own flow, as a Poisson process.
void ReplayExperiment::scheduleShortRequests()
{
    const double rate = c_shortPerSecond * (isInLoadSpike() ? static_cast<double>(c_spikeFactor) : 1);
    m_timeline.after(secondsToDuration(m_random.exponentialSeconds(rate)), [this] {
        startRequest(newFlow(false, {}));
        scheduleShortRequests();
    });
}

/// Starts callers that open successive long flows.
void ReplayExperiment::startCallers(std::size_t count, Instant until)
{
    for (std::size_t i = 0; i < count; ++i) {
        m_timeline.after(secondsToDuration(m_random.fraction()), [this, until] { startRequest(newFlow(true, until)); });
    }
}

void ReplayExperiment::setUnresponsive(bool isUnresponsive)
{
    std::size_t index = 0;
    for (const BackendServer& server : m_configuration.m_backendServers) {
        if (index++ % c_unresponsiveDivisor != 0)
            continue;
        SimulatedBackend& backend = m_backends.at(server.m_tunnel);
        backend.m_isUnresponsive = isUnresponsive;
        if (!isUnresponsive)
            continue;
        backend.m_model = modelOf(server);
        ++backend.m_workLosses;
    }
}

ReplayExperiment::FlowIndex ReplayExperiment::newFlow(bool isLong, Instant callerLeavesAt)
{
    const FlowIndex index = m_flows.size();
    Flow& flow = m_flows.emplace_back();
    flow.m_key.m_caller = { c_callerNetwork + static_cast<std::uint32_t>(index / 50'000),
        static_cast<std::uint16_t>(1'024 + index % 50'000) };
    flow.m_key.m_service = m_configuration.m_services.front().m_address;
    flow.m_vm = m_random.below(m_vms.size());
    flow.m_isLong = isLong;
    if (isLong) {
        const Duration lifetime = secondsToDuration(m_random.exponentialSeconds(1 / c_longFlowSeconds));
        flow.m_callerLeavesAt = callerLeavesAt;
        flow.m_closesAt = std::min(callerLeavesAt, m_timeline.now() + lifetime);
    }
    return index;
}

PacketSummary ReplayExperiment::packetOf(const Flow& flow, PacketKind kind, std::uint16_t payloadBytes) const
{
    PacketSummary packet;
    packet.m_flow = flow.m_key;
    packet.m_kind = kind;
    packet.m_payloadBytes = payloadBytes;
    packet.m_sequence = flow.m_sequence;
    packet.m_acknowledgment = flow.m_acknowledgment;
    return packet;
}

FleetOutcome ReplayExperiment::route(const Flow& flow, const PacketSummary& packet)
{
    return m_design->route(flow.m_vm, packet, m_timeline.now());
}

/// Starts a request. Opens the flow first if it is not open.
void ReplayExperiment::startRequest(FlowIndex index)
{
    Flow& flow = m_flows[index];
    const std::uint64_t request = ++flow.m_request;
    flow.m_isWaiting = true;
    flow.m_requestedAt = m_timeline.now();
    flow.m_isStraggler
        = m_settings.m_pattern == LoadPattern::Stragglers && !flow.m_isLong && m_random.below(c_stragglerDivisor) == 0;
    const double mean = flow.m_isLong ? c_feedWorkSeconds : c_shortWorkSeconds;
    flow.m_workSeconds = flow.m_isStraggler ? mean * c_stragglerFactor : m_random.exponentialSeconds(1 / mean);
    if (!flow.m_isStraggler)
        m_timeline.after(c_deadline, [this, index, request] { timeOutRequest(index, request); });
    if (flow.m_isOpen) {
        sendRequest(index, request, c_firstRetransmissionDelay);
        return;
    }
    open(index, 0);
    std::uint8_t retransmissions = 0;
    for (const Duration delay : c_openingRetransmissionDelays) {
        ++retransmissions;
        m_timeline.after(delay, [this, index, retransmissions] {
            if (!m_flows[index].m_isOpen && !m_flows[index].m_isDone)
                open(index, retransmissions);
        });
    }
}

void ReplayExperiment::open(FlowIndex index, std::uint8_t retransmissions)
{
    PacketSummary packet = packetOf(m_flows[index], PacketKind::Opening, 0);
    packet.m_retransmissions = retransmissions;
    const FleetOutcome outcome = route(m_flows[index], packet);
    const auto backend = m_backends.find(outcome.m_backend);
    if (outcome.m_kind != PacketActionKind::ToBackend || backend == m_backends.end()
        || backend->second.m_isUnresponsive)
        return;
    m_timeline.after(2 * c_oneWayDelay, [this, index] {
        Flow& flow = m_flows[index];
        if (flow.m_isOpen || flow.m_isDone)
            return;
        flow.m_isOpen = true;
        ++flow.m_sequence;
        sendRequest(index, flow.m_request, c_firstRetransmissionDelay);
    });
}

/// Sends the request, and retransmits it with exponential backoff until it is answered.
void ReplayExperiment::sendRequest(FlowIndex index, std::uint64_t request, Duration retransmitAfter)
{
    const Flow& flow = m_flows[index];
    if (flow.m_request != request || !flow.m_isWaiting)
        return;
    const FleetOutcome outcome = route(flow, packetOf(flow, PacketKind::Midstream, c_requestBytes));
    if (outcome.m_kind == PacketActionKind::ToBackend) {
        m_timeline.after(c_oneWayDelay, [this, backend = outcome.m_backend, index, request] {
            receiveRequest(backend, { index, request });
        });
    }
    m_timeline.after(
        retransmitAfter, [this, index, request, retransmitAfter] { sendRequest(index, request, 2 * retransmitAfter); });
}

void ReplayExperiment::receiveRequest(Endpoint endpoint, Job job)
{
    const auto backend = m_backends.find(endpoint);
    Flow& flow = m_flows[job.m_flow];
    if (backend == m_backends.end() || backend->second.m_isUnresponsive || flow.m_receivedRequest == job.m_request)
        return;
    flow.m_receivedRequest = job.m_request;
    m_jobs.push_back(job);
    backend->second.m_model.enqueue(m_jobs.size() - 1);
    startWork(endpoint);
}

void ReplayExperiment::startWork(Endpoint endpoint)
{
    SimulatedBackend& backend = m_backends.at(endpoint);
    while (const std::optional<WorkIndex> work = backend.m_model.startNext()) {
        const Job job = m_jobs[*work];
        const Duration duration = secondsToDuration(m_flows[job.m_flow].m_workSeconds);
        m_timeline.after(duration, [this, endpoint, job, workLosses = backend.m_workLosses] {
            SimulatedBackend& done = m_backends.at(endpoint);
            if (done.m_workLosses != workLosses)
                return;
            done.m_model.freeSlot();
            m_timeline.after(c_oneWayDelay, [this, job] { receiveAnswer(job.m_flow, job.m_request); });
            startWork(endpoint);
        });
    }
}

void ReplayExperiment::receiveAnswer(FlowIndex index, std::uint64_t request)
{
    Flow& flow = m_flows[index];
    if (flow.m_request != request || !flow.m_isWaiting)
        return;
    flow.m_isWaiting = false;
    flow.m_sequence += c_requestBytes;
    flow.m_acknowledgment += c_answerBytes;
    const Duration objective = flow.m_isLong ? c_feedObjective : c_shortObjective;
    if (!flow.m_isStraggler)
        m_finishedRequests.push_back({ flow.m_requestedAt, m_timeline.now() - flow.m_requestedAt, objective });
    (void)route(flow, packetOf(flow, PacketKind::Midstream, 0));
    scheduleNextRequest(index);
}

void ReplayExperiment::timeOutRequest(FlowIndex index, std::uint64_t request)
{
    Flow& flow = m_flows[index];
    if (flow.m_request != request || !flow.m_isWaiting)
        return;
    flow.m_isWaiting = false;
    m_finishedRequests.push_back({ flow.m_requestedAt, Duration::max(), c_deadline });
    flow.m_closesAt = std::min(flow.m_closesAt, m_timeline.now());
    scheduleNextRequest(index);
}

/// Schedules the caller's next request after a pause, over a new flow if this one has ended.
void ReplayExperiment::scheduleNextRequest(FlowIndex index)
{
    Flow& flow = m_flows[index];
    const bool continues = flow.m_isLong && m_timeline.now() < flow.m_closesAt;
    if (!continues) {
        flow.m_isDone = true;
        (void)route(flow, packetOf(flow, PacketKind::HalfClose, 0));
    }
    if (!flow.m_isLong || m_timeline.now() >= flow.m_callerLeavesAt)
        return;
    const Duration pause = secondsToDuration(m_random.exponentialSeconds(c_feedsPerSecond));
    m_timeline.after(pause,
        [this, index, continues] { startRequest(continues ? index : newFlow(true, m_flows[index].m_callerLeavesAt)); });
}

ReplayResult ReplayExperiment::summary() const
{
    struct Window {
        std::size_t m_requests = 0;
        std::size_t m_missed = 0;
    };
    ReplayResult result;
    std::map<std::int64_t, Window> windows;
    std::vector<double> responseTimes;
    for (const FinishedRequest& finished : m_finishedRequests) {
        const Duration elapsed = finished.m_requestedAt - m_start;
        if (elapsed < c_measuredFrom)
            continue;
        const bool hasFailed = finished.m_responseTime == Duration::max();
        const bool isLate = !hasFailed && finished.m_responseTime > finished.m_objective;
        ++result.m_requests;
        result.m_failed += hasFailed ? 1 : 0;
        result.m_late += isLate ? 1 : 0;
        responseTimes.push_back(inSeconds(hasFailed ? c_deadline : finished.m_responseTime));
        Window& window = windows[elapsed / c_window];
        ++window.m_requests;
        window.m_missed += hasFailed || isLate ? 1 : 0;
    }
    for (const auto& [at, window] : windows) {
        const double shareInObjective
            = 1 - static_cast<double>(window.m_missed) / static_cast<double>(window.m_requests);
        if (window.m_requests >= c_minWindowRequests)
            result.m_worstWindow = std::min(result.m_worstWindow, shareInObjective);
    }
    if (responseTimes.empty())
        return result;
    std::ranges::sort(responseTimes);
    result.m_medianSeconds = responseTimes[responseTimes.size() / 2];
    result.m_p99Seconds = responseTimes[responseTimes.size() * 99 / 100];
    return result;
}

} // namespace cuminrelay
