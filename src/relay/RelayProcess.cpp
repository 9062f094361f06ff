#include "relay/RelayProcess.h"

#include "affinity/LivenessCheck.h"
#include "base/Hash.h"
#include "packets/DatagramBatch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr Duration c_gaugeInterval = std::chrono::seconds { 1 };

    namespace asio = boost::asio;
    using asio::ip::udp;

    constexpr auto c_asTuple = asio::as_tuple(asio::use_awaitable);

    constexpr std::chrono::milliseconds c_taskInterval { 25 };

    /// Packets that were queued during a pause have been received within this time after it.
    constexpr Duration c_backlogDrainTime = std::chrono::milliseconds { 50 };

    /// Delay before the next request for a store update after one that could not be used.
    constexpr Duration c_uselessUpdateDelay = std::chrono::milliseconds { 200 };

    /// Requests to other VMs for a backend server whose entry cannot be read.
    constexpr unsigned c_maxContentRequests = 3;

    /// Interval between loads of the settings by a VM without contact to others. Their seeds may have been replaced.
    constexpr Duration c_seedReloadInterval = std::chrono::seconds { 1 };

    /// Minimum interval between calls to the store that confirm the state of a VM that does not follow the store.
    constexpr Duration c_confirmationInterval = std::chrono::milliseconds { 500 };

    constexpr std::uint64_t c_backendsSalt = 1;
    constexpr std::uint64_t c_declarationsSalt = 2;
    constexpr std::uint64_t c_evacuationsSalt = 3;

    udp::endpoint toUdp(Endpoint endpoint)
    {
        return { asio::ip::address_v4 { endpoint.m_address }, endpoint.m_port };
    }

    std::string_view outcomeName(ProbeOutcome outcome)
    {
        switch (outcome) {
        case ProbeOutcome::Answered:
            return "answered";
        case ProbeOutcome::Unanswered:
            return "unanswered";
        case ProbeOutcome::Unclear:
            return "unclear";
        }
        return "unknown";
    }

    /// Since the Unix epoch.
    Duration timeOfDay()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    }

    std::int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

} // namespace

RelayProcess::RelayProcess(RelaySettings settings, FlowPlacement& placement, const RelayEnvironment& environment)
    : m_settings(std::move(settings))
    , m_environment(environment)
    , m_tasks(environment.m_context.get_executor(), environment.m_metrics, environment.m_log)
    , m_flowLog(environment.m_log, environment.m_metrics)
    , m_router(
          { m_settings.m_zone, s_trackedFlowLimit, m_settings.m_addressReuse, m_settings.m_followsEvacuations,
              m_settings.m_warmupBounds, m_settings.m_exchange, environment.m_clock.now(), m_settings.m_learnsPace },
          placement, m_flowLog)
    , m_peers(m_settings.m_exchange, hashZone(m_settings.m_zone), m_settings.m_seeds)
    , m_contestedFlowsExchange(m_router, m_peers)
    , m_evacuations(m_settings.m_zones)
    , m_storeUpdateClient(environment.m_context.get_executor(), environment.m_clock)
    , m_storeUpdateServer(environment.m_context.get_executor(), m_storeCache, m_router.contestedFlows(),
          environment.m_clock, environment.m_metrics, environment.m_log)
    , m_backendsWatch(environment.m_backends, *this, { environment.m_clock, environment.m_metrics, environment.m_log },
          hashText(m_settings.m_name, c_backendsSalt))
    , m_declarationsWatch(environment.m_declarations, *this,
          { environment.m_clock, environment.m_metrics, environment.m_log },
          hashText(m_settings.m_name, c_declarationsSalt))
    , m_evacuationsWatch(environment.m_evacuations, *this,
          { environment.m_clock, environment.m_metrics, environment.m_log },
          hashText(m_settings.m_name, c_evacuationsSalt))
    , m_readiness(
          environment.m_context.get_executor(), m_settings.m_readinessPath, environment.m_metrics, environment.m_log)
    , m_metricsServer(environment.m_context.get_executor(), environment.m_metrics, environment.m_log)
    , m_signals(environment.m_context)
    , m_gauges(environment.m_metrics)
{
    m_flowLog.setRouter(m_router);
    m_message.m_zone = m_notice.m_zone = hashZone(m_settings.m_zone);
    m_notice.m_isNotice = true;
}

Outcome<void> RelayProcess::open()
{
    const Outcome<void> readiness = m_readiness.start(m_settings.m_readiness);
    if (!readiness)
        return readiness.error();
    const Outcome<void> storeUpdate = m_storeUpdateServer.start(m_settings.m_exchange);
    if (!storeUpdate)
        return storeUpdate.error();
    Outcome<udp::socket> exchange = openUdpSocket(
        m_environment.m_context.get_executor(), m_settings.m_exchange, "load messages of other entry VMs");
    if (!exchange)
        return exchange.error();
    m_exchange.emplace(std::move(exchange.value()));
    // Packets are served without metrics.
    const Outcome<void> metrics = m_metricsServer.start(m_settings.m_metrics);
    if (!metrics)
        m_environment.m_log.error("relay", "metrics_unavailable", { { "error", metrics.error().m_message } });
    return boost::outcome_v2::success();
}

ExitStatus RelayProcess::run()
{
    // By default, a write to a closed connection ends the process.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): SIG_IGN is no handler
    const Instant startedAt = m_environment.m_clock.now();
    m_router.setTimeOfDay(timeOfDay(), startedAt);
    m_contestedFlowsExchange.tick(startedAt);
    m_nextSeedsAt = startedAt + c_seedReloadInterval;
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    m_signals.add(SIGHUP);
    m_tasks.keepRunning("signals", [this] { return serveSignals(); });
    m_tasks.keepRunning("backends_watch", [this] { return m_backendsWatch.run(); });
    m_tasks.keepRunning("declarations_watch", [this] { return m_declarationsWatch.run(); });
    if (m_settings.m_followsEvacuations)
        m_tasks.keepRunning("evacuations_watch", [this] { return m_evacuationsWatch.run(); });
    m_tasks.keepRunning("packets", [this] { return forwardPackets(); });
    m_tasks.keepRunning("load_messages", [this] { return receiveLoadMessages(); });
    m_tasks.keepRunning("periodic", [this] { return runPeriodicTasks(); });
    m_environment.m_log.info("relay", "started",
        { { "name", m_settings.m_name }, { "zone", m_settings.m_zone },
            { "packets", formatEndpoint(m_settings.m_packets) }, { "exchange", formatEndpoint(m_settings.m_exchange) },
            { "store", formatEndpoint(m_settings.m_store) }, { "seeds", m_settings.m_seeds.size() },
            { "stop_within_ms", m_settings.m_stopWithin.count() }, { "version", CUMINRELAY_VERSION } });
    reportIgnoredSettings(m_settings);
    m_environment.m_context.run();
    return ExitStatus::Success;
}

asio::awaitable<void> RelayProcess::forwardPackets()
{
    std::array<PacketAction, c_maximumBatch> actions;
    for (;;) {
        const std::span<const PacketSummary> packets = co_await m_environment.m_packets.receive();
        if (packets.empty())
            co_return;
        const Instant now = m_environment.m_clock.now();
        detectPause(now);
        if (m_shutdown)
            m_shutdown->recordPacket(now);
        const std::span<PacketAction> decided = std::span { actions }.first(packets.size());
        m_router.decide(packets, decided, now);
        // Other VMs get the next packets of a contested flow: they are told before any answer can cause one.
        sendNotices(now);
        m_environment.m_packets.send(decided);
    }
}

asio::awaitable<void> RelayProcess::receiveLoadMessages()
{
    for (;;) {
        udp::endpoint sender;
        const auto [error, bytes]
            = co_await m_exchange->async_receive_from(asio::buffer(m_receiveBuffer), sender, c_asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue; // ICMP error for a datagram sent earlier
        applyLoadMessage(std::span { m_receiveBuffer }.first(bytes),
            { sender.address().to_v4().to_uint(), sender.port() }, m_environment.m_clock.now());
    }
}

void RelayProcess::applyLoadMessage(std::span<const std::byte> datagram, Endpoint peer, Instant now)
{
    detectPause(now);
    Outcome<LoadMessage> message = decodeLoadMessage(datagram);
    if (!message || peer.m_port != m_settings.m_exchange.m_port) {
        m_environment.m_metrics.counter("cuminrelay_exchange_drops_total", message ? "not_member" : "malformed").add();
        return;
    }
    // A message that was queued during a pause is older than it says.
    if (now < m_resumedAt)
        message.value().m_stateAge.reset();
    const std::size_t countBefore = m_peers.localZonePeerCount();
    m_peers.recordMessage(peer, message.value(), now);
    const StoreRevision evacuationsRevision = message.value().m_storeVersions.m_evacuations;
    if (m_settings.m_followsEvacuations && m_evacuations.apply(message.value().m_evacuated, evacuationsRevision, now)) {
        m_evacuationsWatch.advanceTo(evacuationsRevision);
        applyEvacuations();
    }
    introduceNewPeers(now);
    if (!message.value().m_isNotice)
        m_router.applyPeerLoad(peer, message.value().m_loads, now, m_peers.peerTimeout());
    m_contestedFlowsExchange.apply(message.value(), peer, now);
    sendNotices(now);
    m_router.applyDeadHints(message.value().m_dead, message.value().m_zone, now);
    if (m_peers.localZonePeerCount() != countBefore)
        m_environment.m_log.info("exchange", "peers_changed",
            { { "peer", formatEndpoint(peer) }, { "leaving", message.value().m_leaving },
                { "near", m_peers.localZonePeerCount() }, { "all", m_peers.size() } });
}

asio::awaitable<void> RelayProcess::runPeriodicTasks()
{
    asio::steady_timer timer { m_environment.m_context };
    for (;;) {
        timer.expires_after(c_taskInterval);
        co_await timer.async_wait(c_asTuple);
        const Instant now = m_environment.m_clock.now();
        detectPause(now);
        m_router.setTimeOfDay(timeOfDay(), now);
        m_router.tick(now);
        updateZoneMembers(now);
        endRetention(now);
        updateReadiness();
        startProbes(now);
        m_contestedFlowsExchange.tick(now);
        reloadSeeds(now);
        chooseReader(now);
        fetchFromPeers(now);
        confirmState(now);
        announceStoreUpdate(now);
        sendLoadMessages(now);
        sendNotices(now);
        updateGauges(now);
        flushLog();
        if (m_shutdown && m_shutdown->canExit(m_readiness.notReadyAnswers(), now))
            break;
    }
    m_environment.m_log.info("relay", "stopped", { { "tracked_flows", m_router.trackedFlows() } });
    flushLog();
    m_environment.m_context.stop();
}

void RelayProcess::updateZoneMembers(Instant now)
{
    if (!m_settings.m_warmupBounds)
        return;
    m_peers.collectLocalZoneMembers(m_zoneMembers);
    m_router.updateZoneMembers(m_zoneMembers, now);
}

/// Decides whether this VM follows the store.
void RelayProcess::chooseReader(Instant now)
{
    const bool isReading = m_peers.shouldRead(storeVersions(), stateConfirmedAt(), now);
    m_backendsWatch.setReading(isReading);
    m_declarationsWatch.setReading(isReading);
    m_evacuationsWatch.setReading(isReading);
}

/// Fetches a store update from a VM with a newer state, contested flows from one that knows more of them, or what other
/// VMs know of backend servers whose entries cannot be read.
void RelayProcess::fetchFromPeers(Instant now)
{
    if (m_isFetching || now < m_nextFetchAt)
        return;
    const auto fetchUpdate = [this](Endpoint peer, StoreVersions held) {
        m_isFetching = true;
        m_tasks.runOnce("store_update", fetchStoreUpdate(peer, held), [this] { m_isFetching = false; });
    };
    const StoreVersions versions = storeVersions();
    if (const std::optional<Endpoint> peer = m_peers.peerWithNewerState(versions, now)) {
        fetchUpdate(*peer, m_storeCache.state());
        return;
    }
    const Instant knownSince = m_router.contestedFlows().knownSince();
    if (const std::optional<Endpoint> peer = m_peers.peerWithEarlierContestedFlows(knownSince, now)) {
        m_isFetching = true;
        m_tasks.runOnce("contested_flows", fetchContestedFlows(*peer), [this] { m_isFetching = false; });
        return;
    }
    if (m_storeCache.unreadable().empty())
        return;
    const std::optional<Endpoint> peer = m_peers.peerWithState(versions, now);
    if (peer && takeContentRequest()) {
        m_nextFetchAt = now + c_uselessUpdateDelay;
        fetchUpdate(*peer, { {}, versions.m_declarations }); // all backend servers
    }
}

/// Returns whether to ask another VM for backend servers whose entries cannot be read. An entry that no VM has ever
/// read is asked for a few times only.
bool RelayProcess::takeContentRequest()
{
    std::erase_if(
        m_contentRequests, [this](const auto& request) { return !m_storeCache.unreadable().contains(request.first); });
    bool isWanted = false;
    for (const auto& [identity, revision] : m_storeCache.unreadable())
        isWanted = m_contentRequests[identity]++ < c_maxContentRequests || isWanted;
    return isWanted;
}

/// Sets the router's confirmation of the state, and calls the store for a later one if a reset waits for it.
void RelayProcess::confirmState(Instant now)
{
    m_router.setStateConfirmed(
        m_stateEra.settled(stateConfirmedAt()), m_peers.hasNewerDeclarations(m_router.configVersion()));
    if (now < m_nextConfirmationAt || !m_router.takeConfirmationRequest())
        return;
    m_nextConfirmationAt = now + c_confirmationInterval;
    m_backendsWatch.confirm();
    m_declarationsWatch.confirm();
}

StoreVersions RelayProcess::storeVersions() const
{
    StoreVersions versions = m_storeCache.state();
    versions.m_evacuations = m_evacuations.revision();
    return versions;
}

/// The latest time as of which the state of this VM is known to have been the store's; epoch: unknown. Evacuations are
/// left out: resets and refusals do not depend on them, and the messages that confirm the rest carry them.
Instant RelayProcess::stateConfirmedAt()
{
    if (m_declarationsWatch.unreadableRevision() > m_storeCache.declarationsRevision())
        return Instant {};
    const Instant readAt = std::min(m_backendsWatch.confirmedAt(), m_declarationsWatch.confirmedAt());
    return std::max(readAt, m_peers.stateConfirmedAt(storeVersions()));
}

asio::awaitable<void> RelayProcess::fetchStoreUpdate(Endpoint peer, StoreVersions held)
{
    const StoreVersions before = m_storeCache.state();
    const Outcome<StoreUpdate> storeUpdate = co_await m_storeUpdateClient.fetch(peer, held);
    m_isFetching = false;
    const bool isMalformed = !storeUpdate && storeUpdate.error().m_kind == ErrorKind::InvalidInput;
    m_environment.m_metrics
        .counter("cuminrelay_news_total", storeUpdate ? "taken" : (isMalformed ? "malformed" : "unavailable"))
        .add();
    if (storeUpdate)
        applyStoreUpdate(storeUpdate.value(), peer);
    else
        m_environment.m_log.warning("exchange", "news_unavailable", { { "error", storeUpdate.error().m_message } });
    // The same peer would give the same answer again.
    if (isMalformed || (storeUpdate && m_storeCache.state() == before))
        m_nextFetchAt = m_environment.m_clock.now() + c_uselessUpdateDelay;
}

asio::awaitable<void> RelayProcess::fetchContestedFlows(Endpoint peer)
{
    const Outcome<ContestedFlowsMessage> flows = co_await m_storeUpdateClient.fetchContestedFlows(peer);
    m_isFetching = false;
    const Instant now = m_environment.m_clock.now();
    m_nextFetchAt = now + c_uselessUpdateDelay;
    m_environment.m_metrics.counter("cuminrelay_contested_flow_lists_total", flows ? "taken" : "unavailable").add();
    if (!flows) {
        m_environment.m_log.warning(
            "exchange", "contested_flows_unavailable", { { "error", flows.error().m_message } });
        co_return;
    }
    m_router.contestedFlows().restore(flows.value().m_flows, now - flows.value().m_knownFor, now);
    m_environment.m_log.info("exchange", "contested_flows_taken",
        { { "peer", formatEndpoint(peer) }, { "flows", flows.value().m_flows.size() },
            { "known_for_ms", flows.value().m_knownFor.count() } });
}

void RelayProcess::applyStoreUpdate(const StoreUpdate& storeUpdate, Endpoint peer)
{
    m_environment.m_log.info("exchange", "news_taken",
        { { "peer", formatEndpoint(peer) }, { "complete", storeUpdate.m_isComplete },
            { "backends", storeUpdate.m_backends.size() }, { "withdrawn", storeUpdate.m_withdrawn.size() },
            { "unreadable", storeUpdate.m_unreadable.size() },
            { "revision", storeUpdate.m_backendsRevision.m_number } });
    if (storeUpdate.m_isComplete)
        backendsListed(listOf(storeUpdate));
    else
        backendsChanged(changesOf(storeUpdate));
    m_backendsWatch.advanceTo(storeUpdate.m_backendsRevision);
    const std::optional<ServiceDeclarations> declarations
        = storeUpdate.m_declarations ? m_storeCache.merged(*storeUpdate.m_declarations) : std::nullopt;
    if (!declarations)
        return;
    declarationsChanged(*declarations, storeUpdate.m_declarationsRevision);
    m_declarationsWatch.advanceTo(storeUpdate.m_declarationsRevision);
}

/// Announces a new store state to the local zone at once, so that its VMs fetch the update.
void RelayProcess::announceStoreUpdate(Instant now)
{
    const bool hasStoreUpdate = std::exchange(m_hasStoreUpdate, false);
    if (!hasStoreUpdate || !m_backendsWatch.isFollowing())
        return;
    m_loadMessageSchedule.recordOtherMessage(sendTo(m_peers.localZonePeers(), m_peers.peersToGossip(now)), now);
}

void RelayProcess::sendLoadMessages(Instant now)
{
    std::vector<BackendLoadReport> loads;
    m_router.collectLocalLoad(loads);
    loads.resize(std::min(loads.size(), maxLoadsBeside(m_evacuations.report(now))));
    std::vector<BackendToken> dead = m_router.deadBackends();
    if (dead.size() > c_maxDead)
        dead.resize(c_maxDead);
    ContestedFlows& contested = m_router.contestedFlows();
    if (!m_loadMessageSchedule.isDue(loads, dead, contested.hasChanges(), now))
        return;
    m_message.m_loads = std::move(loads);
    m_message.m_dead = std::move(dead);
    m_message.m_contestedFlows = contested.takeForMessage(c_maxContestedFlows, now);
    const std::size_t bytes = sendTo(m_peers.nextTargets(now), m_peers.peersToGossip(now));
    m_loadMessageSchedule.recordLoadMessage(m_message.m_loads, m_message.m_dead, bytes, now, m_peers.repeatAt(now));
}

/// Sends each new peer the list of the peers in its zone; a message without any tells it of this VM.
void RelayProcess::introduceNewPeers(Instant now)
{
    for (const ExchangePeer& newPeer : m_peers.takeNewPeers()) {
        const std::vector<ExchangePeer> peers = m_peers.peersOf(newPeer.m_zone);
        std::size_t first = 0;
        do {
            const std::size_t count = std::min(c_maxPeers, peers.size() - first);
            const std::size_t bytes
                = sendTo(std::span { &newPeer.m_exchange, 1 }, std::span { peers }.subspan(first, count));
            m_loadMessageSchedule.recordOtherMessage(bytes, now);
            first += count;
        } while (first < peers.size());
    }
}

/// Sends what other VMs have to know at once about contested flows, and questions about flows that cannot be located.
void RelayProcess::sendNotices(Instant now)
{
    for (ContestedFlowsNotice& notice : m_contestedFlowsExchange.takeNotices(now)) {
        m_notice.m_contestedFlows = std::move(notice.m_flows);
        m_notice.m_questions = std::move(notice.m_questions);
        m_loadMessageSchedule.recordOtherMessage(send(m_notice, notice.m_targets), now);
    }
}

/// Sends m_message to the targets. Returns the bytes sent, including datagram headers.
std::size_t RelayProcess::sendTo(std::span<const Endpoint> targets, std::span<const ExchangePeer> gossiped)
{
    m_message.m_peers.assign(gossiped.begin(), gossiped.end());
    return send(m_message, targets);
}

/// Sends a message to the targets, with the state of this VM. Returns the bytes sent, including datagram headers.
std::size_t RelayProcess::send(LoadMessage& message, std::span<const Endpoint> targets)
{
    const Instant now = m_environment.m_clock.now();
    message.m_leaving = m_shutdown.has_value();
    const bool isFollowingEvacuations = !m_settings.m_followsEvacuations || m_evacuationsWatch.isFollowing();
    message.m_isReading
        = !m_shutdown && m_backendsWatch.isFollowing() && m_declarationsWatch.isFollowing() && isFollowingEvacuations;
    message.m_storeVersions = storeVersions();
    message.m_evacuated = m_evacuations.report(now);
    message.m_loads.resize(std::min(message.m_loads.size(), maxLoadsBeside(message.m_evacuated)));
    const Instant confirmedAt = stateConfirmedAt();
    message.m_stateAge = confirmedAt != Instant {} ? std::optional { now - confirmedAt } : std::nullopt;
    message.m_contestedKnownFor = m_router.contestedFlows().knownFor(now);
    const std::span<const std::byte> encoded = encodeLoadMessage(message, m_sendBuffer);
    for (const Endpoint target : targets) {
        boost::system::error_code failure;
        m_exchange->send_to(asio::buffer(encoded.data(), encoded.size()), toUdp(target), 0, failure);
        if (failure)
            m_environment.m_metrics.counter("cuminrelay_exchange_drops_total", "not_sent").add();
    }
    const std::size_t bytes = targets.size() * (encoded.size() + c_datagramHeaderBytes);
    m_environment.m_metrics.counter("cuminrelay_exchange_bytes_total", "sent").add(bytes);
    return bytes;
}

void RelayProcess::startProbes(Instant now)
{
    for (LivenessProbe& probe : m_router.takeProbes(now))
        startProbe(std::move(probe));
}

void RelayProcess::startProbe(LivenessProbe probe)
{
    const BackendToken backend = probe.m_backend;
    m_tasks.runOnce("probe", probeBackend(std::move(probe)),
        [this, backend] { m_router.recordProbe(backend, ProbeOutcome::Unclear, m_environment.m_clock.now()); });
}

asio::awaitable<void> RelayProcess::probeBackend(LivenessProbe probe)
{
    using namespace asio::experimental::awaitable_operators;
    const BackendToken backend = probe.m_backend;
    LivenessCheck livenessCheck { probe.m_isRecheck };
    std::optional<ProbeOutcome> result;
    while (!result) {
        LivenessCheck::Round round;
        std::optional<LivenessProbe> control;
        if (livenessCheck.needsControl())
            control = m_router.controlProbe(backend, m_environment.m_clock.now());
        round.m_hasControl = control.has_value();
        if (control) {
            const auto [backendOutcome, controlOutcome] = co_await (m_environment.m_backendProber.probeBackend(probe)
                && m_environment.m_backendProber.probeBackend(std::move(*control)));
            round.m_outcome = backendOutcome;
            round.m_controlAnswered = controlOutcome == ProbeOutcome::Answered;
        } else {
            round.m_outcome = co_await m_environment.m_backendProber.probeBackend(probe);
        }
        result = livenessCheck.apply(round);
    }
    const ProbeOutcome outcome = *result;
    m_environment.m_metrics.counter("cuminrelay_probes_total", outcomeName(outcome)).add();
    const std::vector<FlowReset> resets = m_router.recordProbe(backend, outcome, m_environment.m_clock.now());
    for (const FlowReset& reset : resets)
        m_environment.m_packets.reset(reset.m_flow, reset.m_acknowledgment);
    if (!resets.empty())
        m_environment.m_log.info(
            "affinity", "flows_reset", { { "token", backend.m_value }, { "flows", resets.size() } });
}

asio::awaitable<void> RelayProcess::serveSignals()
{
    for (;;) {
        const auto [error, signal] = co_await m_signals.async_wait(c_asTuple);
        if (error)
            co_return;
        if (signal == SIGHUP)
            reload();
        else
            beginShutdown();
    }
}

void RelayProcess::requestStop()
{
    asio::post(m_environment.m_context, [this] { beginShutdown(); });
}

void RelayProcess::beginShutdown()
{
    if (m_shutdown)
        return;
    const Instant now = m_environment.m_clock.now();
    m_shutdown.emplace(now, now + m_settings.m_stopWithin);
    updateReadiness();
    m_environment.m_log.info("relay", "stopping",
        { { "tracked_flows", m_router.trackedFlows() }, { "stop_within_ms", m_settings.m_stopWithin.count() } });
}

/// Applies the settings that can change while the process runs. A file that a start would refuse is reported as an
/// error: the process serves on, but its next start would end.
void RelayProcess::reload()
{
    const Outcome<RelaySettings> loaded = m_environment.m_settings.load();
    m_environment.m_metrics.counter("cuminrelay_reloads_total", loaded ? "applied" : "refused").add();
    m_environment.m_metrics.gauge("cuminrelay_settings_unusable").set(loaded ? 0 : 1);
    if (!loaded) {
        m_environment.m_log.error("relay", "reload_refused",
            { { "error", loaded.error().m_message }, { "effect", "this process would not start again" } });
        return;
    }
    const RelaySettings& settings = loaded.value();
    reportIgnoredSettings(settings);
    m_settings.m_stopWithin = settings.m_stopWithin;
    m_settings.m_ignored = settings.m_ignored;
    m_settings.m_seeds = settings.m_seeds;
    m_peers.setSeeds(m_settings.m_seeds);
    m_environment.m_log.info("relay", "reloaded",
        { { "stop_within_ms", m_settings.m_stopWithin.count() }, { "seeds", m_settings.m_seeds.size() },
            { "others", settings == m_settings ? "unchanged" : "changed, in force after a restart" } });
}

/// Applies the seeds of changed settings while no other VM is in contact: the settings may change without a signal.
void RelayProcess::reloadSeeds(Instant now)
{
    if (now < m_nextSeedsAt || m_peers.hasContact(now))
        return;
    m_nextSeedsAt = now + c_seedReloadInterval;
    const Outcome<RelaySettings> loaded = m_environment.m_settings.load();
    if (!loaded || loaded.value().m_seeds == m_settings.m_seeds)
        return;
    m_settings.m_seeds = loaded.value().m_seeds;
    m_peers.setSeeds(m_settings.m_seeds);
    m_environment.m_log.info("exchange", "seeds_replaced", { { "seeds", m_settings.m_seeds.size() } });
}

/// Logs the values of the settings that cannot be used, and what is in force instead.
void RelayProcess::reportIgnoredSettings(const RelaySettings& settings)
{
    m_environment.m_metrics.gauge("cuminrelay_settings_ignored").set(static_cast<double>(settings.m_ignored.size()));
    for (const IgnoredSetting& setting : settings.m_ignored)
        m_environment.m_log.warning("relay", "setting_ignored",
            { { "key", setting.m_key }, { "found", setting.m_found }, { "allowed", setting.m_allowed },
                { "in_force", setting.m_inForce } });
}

void RelayProcess::detectPause(Instant now)
{
    const Duration pause = m_pauseDetector.detect(now);
    if (pause == Duration::zero())
        return;
    m_environment.m_metrics.counter("cuminrelay_pauses_total").add();
    m_environment.m_log.warning("relay", "paused", { { "for_ms", toMilliseconds(pause) } });
    // Messages and answers that were queued during the pause are as old as it.
    m_resumedAt = now + c_backlogDrainTime;
    m_router.applyPause(m_resumedAt);
    m_backendsWatch.distrustAnswersBefore(m_resumedAt);
    m_declarationsWatch.distrustAnswersBefore(m_resumedAt);
    m_evacuationsWatch.distrustAnswersBefore(m_resumedAt);
}

void RelayProcess::updateReadiness()
{
    const bool ready = !m_shutdown && m_hasBackends && m_router.isConfigured();
    if (ready == m_readiness.isReady())
        return;
    m_readiness.setReady(ready);
    m_environment.m_log.info("relay", "readiness",
        { { "ready", ready }, { "config", m_router.configVersion().m_number },
            { "backends", m_router.backends().size() } });
}

void RelayProcess::updateGauges(Instant now)
{
    if (now < m_nextGaugeUpdateAt)
        return;
    m_nextGaugeUpdateAt = now + c_gaugeInterval;
    const bool followsStore = m_declarationsWatch.isFollowing();
    m_gauges.update(m_router,
        { m_readiness.isReady(), followsStore, stateConfirmedAt(), m_peers.localZonePeerCount(), m_peers.size(),
            m_declarationsWatch.unreadableRevision() > m_storeCache.declarationsRevision(),
            m_storeCache.state().m_backends.m_era, m_evacuations.sinceByName() },
        now);
}

void RelayProcess::flushLog()
{
    m_environment.m_logOutput.flush();
    const std::uint64_t lostLines = m_environment.m_logOutput.lostLines();
    if (lostLines > m_countedLostLines)
        m_environment.m_metrics.counter("cuminrelay_log_lines_lost_total").add(lostLines - m_countedLostLines);
    m_countedLostLines = lostLines;
}

void RelayProcess::backendsListed(const BackendList& readList)
{
    const Instant now = m_environment.m_clock.now();
    const std::uint32_t era = m_storeCache.state().m_backends.m_era;
    const BackendList list = m_storeCache.reconciled(m_storeCache.withoutUnreadable(readList), now);
    if (!m_storeCache.apply(list))
        return;
    m_stateEra.record(list.m_revision.m_era, now);
    if (m_hasBackends && list.m_revision.m_era != era)
        logRestore(list.m_revision);
    m_hasStoreUpdate = true;
    m_router.replaceBackends(list.m_backends, now);
    m_hasBackends = true;
    m_environment.m_log.info("discovery", "backends_listed",
        { { "backends", list.m_backends.size() }, { "unreadable", readList.m_unreadable.size() },
            { "revision", list.m_revision.m_number } });
    updateReadiness();
}

void RelayProcess::logRestore(StoreRevision revision)
{
    m_environment.m_metrics.counter("cuminrelay_store_restores_total").add();
    m_environment.m_log.warning("discovery", "store_restored",
        { { "era", revision.m_era }, { "revision", revision.m_number },
            { "retained", m_storeCache.restored().retained() }, { "ignored", m_storeCache.restored().ignored() } });
}

/// Ends what was kept after a restore of the store and was not written again.
void RelayProcess::endRetention(Instant now)
{
    if (m_evacuations.tick(now))
        applyEvacuations();
    for (const BackendIdentity identity : m_storeCache.takeGone(stateConfirmedAt())) {
        m_router.departBackend(identity, now);
        m_environment.m_log.info("discovery", "backend_not_restored", { { "token", tokenOf(identity).m_value } });
    }
}

void RelayProcess::backendsChanged(const BackendChanges& readChanges)
{
    const BackendChanges changes = m_storeCache.reconciled(m_storeCache.withoutUnreadable(readChanges));
    if (!m_storeCache.apply(changes))
        return;
    m_hasStoreUpdate = true;
    const Instant now = m_environment.m_clock.now();
    for (const BackendChange& change : changes.m_changes) {
        if (change.m_isUnreadable)
            continue; // of an unknown backend server
        const BackendToken token = tokenOf(change.m_identity);
        const TrackedBackend* const tracked = std::as_const(m_router).backends().find(token);
        const std::string name = change.m_backend ? change.m_backend->m_server.m_name
            : tracked                             ? tracked->m_announced.m_server.m_name
                                                  : std::string {};
        if (change.m_backend)
            m_router.announceBackend(*change.m_backend, now);
        else
            m_router.withdrawBackend(change.m_identity, now);
        const std::string_view state = !change.m_backend ? "withdrawn"
            : change.m_backend->m_server.m_draining      ? "draining"
                                                         : "ready";
        m_environment.m_log.info("discovery", "backend_changed",
            { { "backend", name }, { "token", token.m_value }, { "state", state },
                { "revision", changes.m_revision.m_number } });
    }
}

void RelayProcess::declarationsChanged(const ServiceDeclarations& declarations, StoreRevision revision)
{
    const bool isApplied = m_router.applyDeclarations(declarations, m_environment.m_clock.now());
    if (isApplied && m_storeCache.apply(declarations, revision))
        m_hasStoreUpdate = true;
    m_environment.m_metrics.counter("cuminrelay_declarations_total", isApplied ? "taken" : "not_newer").add();
    m_environment.m_metrics.counter("cuminrelay_unknown_kinds_total").add(isApplied ? declarations.m_unknownKinds : 0);
    m_environment.m_log.info("discovery", isApplied ? "declarations_taken" : "declarations_refused",
        { { "config", declarations.m_version.m_number }, { "services", declarations.m_services.size() },
            { "in_force", m_router.configVersion().m_number } });
    if (isApplied && m_router.keepsWarmupBudget())
        m_environment.m_log.info("warmup", "warmup_budget",
            { { "config", declarations.m_version.m_number }, { "declared", declarations.m_warmups.size() },
                { "overage", m_settings.m_warmupBounds->m_overage }, { "slack", m_settings.m_warmupBounds->m_slack } });
    updateReadiness();
}

void RelayProcess::evacuationsListed(const EvacuationList& list)
{
    if (!m_evacuations.apply(list, m_environment.m_clock.now()))
        return;
    m_hasStoreUpdate = true;
    applyEvacuations();
}

void RelayProcess::evacuationsChanged(const EvacuationChanges& changes)
{
    if (!m_evacuations.apply(changes, m_environment.m_clock.now()))
        return;
    m_hasStoreUpdate = true;
    applyEvacuations();
}

/// Passes the evacuated zones on to the router, and logs those that began or ended.
void RelayProcess::applyEvacuations()
{
    m_router.setEvacuatedZones(m_evacuations.inForce(), m_environment.m_clock.now());
    for (const std::string& name : m_evacuations.takeIgnored()) {
        m_environment.m_metrics.counter("cuminrelay_evacuations_total", "ignored").add();
        m_environment.m_log.warning("evacuation", "evacuation_ignored",
            { { "zone", name }, { "reason", "no zone of the deployment has this name, or too many are evacuated" } });
    }
    for (const EvacuationEvent& event : m_evacuations.takeEvents()) {
        const std::string_view state = event.m_isEvacuated ? "evacuated" : "ended";
        m_environment.m_metrics.counter("cuminrelay_evacuations_total", state).add();
        m_environment.m_log.info("evacuation", "zone_evacuation",
            { { "zone", event.m_zone }, { "state", state }, { "retained", event.m_isRetained },
                { "era", m_evacuations.revision().m_era }, { "revision", m_evacuations.revision().m_number } });
    }
    updateReadiness();
}

} // namespace cuminrelay
