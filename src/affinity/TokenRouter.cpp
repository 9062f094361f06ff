#include "affinity/TokenRouter.h"

#include "base/Assert.h"
#include "base/Hash.h"
#include "configuration/Selector.h"
#include "pace/PaceTracker.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr Duration c_sweepInterval = std::chrono::milliseconds { 500 };

    /// A repeated packet that arrives sooner is a network duplicate and proves nothing about the backend server.
    constexpr Duration c_minRetransmissionDelay = std::chrono::milliseconds { 150 };

    /// A backend server that answered within this time is alive, even without a store entry.
    constexpr Duration c_answerValidity = std::chrono::seconds { 2 };

    /// Initial and maximum intervals between probes of a dead backend server.
    constexpr Duration c_probeInterval = std::chrono::seconds { 1 };
    constexpr Duration c_maxProbeInterval = std::chrono::seconds { 4 };

    /// Interval to the next probe after an unclear outcome.
    constexpr Duration c_unclearInterval = std::chrono::milliseconds { 300 };

    /// A backend server that answered within this time is expected to accept a connection.
    constexpr Duration c_maxControlAnswerAge = std::chrono::seconds { 2 };

    /// A new flow to an unknown service is refused if the declarations were the store's within this time. Less than the
    /// 3 s in which a new version has to be in force.
    constexpr Duration c_refusalValidity = std::chrono::milliseconds { 2'500 };

    /// A backend server that answers after a longer time without answers has recovered; a shorter one may be lost
    /// packets.
    constexpr Duration c_recoverySilence = std::chrono::seconds { 1 };

    constexpr std::uint64_t c_weightSalt = 0x77656967; // "weig"
    constexpr std::uint64_t c_contestedSalt = 0x636f6e74; // "cont"

} // namespace

TokenRouter::TokenRouter(Options options, FlowPlacement& placement, RouterObserver& observer)
    : m_options(std::move(options))
    , m_placement(placement)
    , m_observer(observer)
    , m_flows(m_backends, m_options.m_trackedFlowLimit)
    , m_contestedFlows(hashText(m_options.m_zone, c_contestedSalt), m_options.m_startedAt)
    , m_locator(m_backends, m_contestedFlows)
    , m_isAwaitingEvacuations(m_options.m_awaitsEvacuations)
{
    if (m_options.m_warmupBounds)
        m_warmupBudget.emplace(m_options.m_self, *m_options.m_warmupBounds, m_options.m_startedAt);
}

void TokenRouter::decide(std::span<const PacketSummary> packets, std::span<PacketAction> actions, Instant now)
{
    CR_ASSERT(packets.size() <= actions.size(), "decide needs an action for each packet");
    for (std::size_t i = 0; i < packets.size(); ++i)
        actions[i] = decideOne(packets[i], now);
}

PacketAction TokenRouter::decideOne(const PacketSummary& packet, Instant now)
{
    const FlowHash hash = hashFlow(packet.m_flow);
    return packet.m_kind == PacketKind::Opening ? decideOpening(packet, hash, now) : decideMidstream(packet, hash, now);
}

PacketAction TokenRouter::decideOpening(const PacketSummary& packet, FlowHash hash, Instant now)
{
    if (now < m_staleUntil)
        return reject(packet, PacketActionKind::Drop, Reason::StaleAfterPause, nullptr, now);
    const ServiceMap::Entry* const service = m_services.find(packet.m_flow.m_service);
    if (!service)
        return decideOpeningOfUnknownService(packet, now);
    if (!isConfigured())
        return reject(packet, PacketActionKind::Drop, Reason::NotConfigured, nullptr, now);
    TrackedFlow* const stored = m_flows.find(hash);
    // A caller that reuses its port starts at another sequence number.
    if (stored && stored->wasOpenedHere() && packet.m_sequence == stored->m_openingSequence)
        return decideRetransmittedOpening(packet, hash, *stored, now);
    TrackedBackend* const backend = place(*service, hash, BackendToken {}, now);
    if (!backend)
        return refuseUnplaced(*service, packet, nullptr, now);
    TrackedFlow* const flow
        = m_flows.open(hash, packet.m_flow, backend->m_token, service->m_kind == RequestKind::Idempotent, now);
    if (flow) {
        flow->m_openingSequence = packet.m_sequence;
        TrackedFlows::recordOpening(*flow, packet.m_retransmissions, now);
    }
    // The copies before may have reached another VM.
    if (packet.m_retransmissions > 0)
        m_contestedFlows.add(hash, packet.m_sequence, now);
    m_observer.placed(packet, *backend, PlacementCause::New, m_eligible.size(), now);
    return forwardOpeningTo(*backend, packet, hash, now);
}

/// Refuses an opening packet for which no backend server was found.
PacketAction TokenRouter::refuseUnplaced(
    const ServiceMap::Entry& service, const PacketSummary& packet, const TrackedBackend* backend, Instant now)
{
    const bool isEvacuated = std::ranges::any_of(service.m_targets, [this](const ServiceMap::Target& target) {
        const Pool& pool = poolOf(target.m_selector);
        return pool.m_hasEvacuated && pool.m_backends.empty();
    });
    const Reason reason = m_hasLeftOut ? Reason::WarmupBudget
        : isEvacuated                  ? Reason::ZoneEvacuated
                                       : Reason::NoBackendServer;
    return reject(packet, PacketActionKind::Refuse, reason, backend, now);
}

/// Decides on the retransmitted opening packet of a flow placed here. Two backend servers that both answer would
/// compete for the flow. One missing answer may be a lost packet, so a second backend server is chosen only if the
/// first was suspected before or accepts no new flows.
PacketAction TokenRouter::decideRetransmittedOpening(
    const PacketSummary& packet, FlowHash hash, TrackedFlow& flow, Instant now)
{
    TrackedFlows::recordOpening(flow, packet.m_retransmissions, now);
    TrackedBackend* const first = m_backends.find(flow.m_backend);
    const bool isLate = now - flow.m_openedAt >= c_minRetransmissionDelay;
    const bool wasSuspected = first && isSuspected(*first);
    if (first && isLate && !flow.m_isEstablished)
        recordMissingAnswer(*first, flow.m_openedAt, now);
    const bool hasAnswered = first && first->m_liveness.answeredAt() >= flow.m_openedAt;
    const bool mayAnswer = first && first->acceptsNewFlows() && (hasAnswered || !wasSuspected);
    const bool mayOpen = first && !isEvacuated(*first);
    if (first && (flow.m_isEstablished || (mayOpen && (!isLate || mayAnswer)))) {
        m_observer.placed(packet, *first, PlacementCause::Retransmission, 1, now);
        return forwardOpeningTo(*first, packet, hash, now);
    }
    const ServiceMap::Entry* const service = m_services.find(packet.m_flow.m_service);
    TrackedBackend* const second = place(*service, hash, flow.m_backend, now);
    if (!second)
        return refuseUnplaced(*service, packet, first, now);
    if (second->m_token != flow.m_backend) {
        m_flows.move(flow, second->m_token);
        flow.m_openedAt = now;
        m_contestedFlows.add(hash, packet.m_sequence, now);
    }
    m_observer.placed(packet, *second, PlacementCause::SecondChoice, m_eligible.size(), now);
    return forwardOpeningTo(*second, packet, hash, now);
}

/// Returns the record of a packet's flow; nullptr if there is none. Closes that of an earlier flow with the same
/// addresses and ports.
TrackedFlow* TokenRouter::recordOf(const PacketSummary& packet, FlowHash hash)
{
    TrackedFlow* const flow = m_flows.find(hash);
    if (!flow || flow->contains(packet.m_sequence))
        return flow;
    m_flows.close(hash);
    return nullptr;
}

void TokenRouter::applyContestedFlow(const ContestedFlowReport& found, Instant now)
{
    m_locator.apply(found, m_flows.find(found.m_content.m_flow), now);
}

std::vector<ContestedFlowReport> TokenRouter::answerQuestions(std::span<const FlowHash> flows, Instant now)
{
    std::vector<ContestedFlowReport> answers;
    for (const FlowHash flow : flows) {
        const std::optional<ContestedFlowReport> answer = m_locator.answer(flow, m_flows.find(flow), now);
        if (answer)
            answers.push_back(*answer);
    }
    return answers;
}

PacketAction TokenRouter::forwardOpeningTo(
    const TrackedBackend& backend, const PacketSummary& packet, FlowHash hash, Instant now)
{
    PacketAction action = forwardTo(backend);
    action.m_token = m_locator.openingToken(backend.m_token, hash, packet.m_sequence, now);
    return action;
}

PacketAction TokenRouter::decideOpeningOfUnknownService(const PacketSummary& packet, Instant now)
{
    if (m_services.version() == ConfigVersion {})
        return reject(packet, PacketActionKind::Drop, Reason::NotConfigured, nullptr, now);
    const bool isCurrent = !m_hasNewerDeclarations && now - m_stateConfirmedAt <= c_refusalValidity;
    if (!isCurrent)
        return reject(packet, PacketActionKind::Drop, Reason::StateUnconfirmed, nullptr, now);
    return reject(packet, PacketActionKind::Refuse, Reason::UnknownService, nullptr, now);
}

/// A flow with a record passed this VM while its service was declared, so the service has been removed since.
PacketAction TokenRouter::decideMidstreamOfUnknownService(const PacketSummary& packet, FlowHash hash, Instant now)
{
    if (m_services.version() == ConfigVersion {})
        return reject(packet, PacketActionKind::Drop, Reason::NotConfigured, nullptr, now);
    if (recordOf(packet, hash)) {
        m_flows.close(hash);
        m_pendingResets.permit(hash, now);
    }
    if (!mayReset(hash, now))
        return reject(packet, PacketActionKind::Drop, Reason::StateUnconfirmed, nullptr, now);
    return reject(packet, PacketActionKind::ResetCaller, Reason::UnknownService, nullptr, now);
}

PacketAction TokenRouter::decideMidstream(const PacketSummary& packet, FlowHash hash, Instant now)
{
    const ServiceMap::Entry* const service = m_services.find(packet.m_flow.m_service);
    if (!service)
        return decideMidstreamOfUnknownService(packet, hash, now);
    TrackedFlow* flow = recordOf(packet, hash);
    const BackendToken token = m_locator.locate(packet, hash, flow, now);
    if (token == BackendToken {} && packet.m_carriedToken != 0)
        return reject(packet, PacketActionKind::Drop, Reason::OpeningUnproven, nullptr, now);
    if (flow && flow->m_backend != token)
        m_flows.move(*flow, token);
    TrackedBackend* const backend = m_backends.find(token);
    if (!backend)
        return reject(packet, PacketActionKind::Drop, Reason::UnknownBackend, nullptr, now);
    if (isGone(*backend, now))
        return decideMidstreamOfGoneBackend(packet, hash, *backend, now);
    if (!flow && packet.m_kind == PacketKind::Midstream)
        flow = m_flows.adopt(hash, packet, token, service->m_kind == RequestKind::Idempotent, now);
    if (flow) {
        const FlowObservation seen = m_flows.observe(*flow, packet, now);
        if (m_options.m_learnsPace && seen.m_answeredSentAt != Instant {})
            recordAnswerTime(packet.m_flow.m_service, *backend, seen, now);
        if (m_options.m_learnsPace && seen.m_isRetransmission && now - flow->m_requestSentAt >= c_minRetransmissionDelay
            && flow->m_requestSentAt != Instant {})
            backend->m_pace.recordMissingAnswer(now);
        if (seen.m_acknowledgesNewData)
            recordAnswer(*backend, now);
        else if (seen.m_isRetransmission && flow->m_isActive && now - flow->m_activeSince >= c_minRetransmissionDelay)
            backend->m_liveness.recordUnansweredData(flow->m_activeSince);
    }
    if (packet.m_kind == PacketKind::HalfClose || packet.m_kind == PacketKind::Reset)
        m_flows.close(hash);
    return forwardTo(*backend);
}

/// The store's word that a backend server has left is outdated if it started again since. A flow with a record was open
/// before, and a backend server that this VM found dead was probed.
PacketAction TokenRouter::decideMidstreamOfGoneBackend(
    const PacketSummary& packet, FlowHash hash, const TrackedBackend& backend, Instant now)
{
    if (m_flows.find(hash) || backend.m_confirmedDead) {
        m_flows.close(hash);
        m_pendingResets.permit(hash, now);
    }
    if (packet.m_kind == PacketKind::Reset)
        return PacketAction { PacketActionKind::Drop, Reason::BackendGone, {}, {}, 0, 0 };
    if (!mayReset(hash, now))
        return reject(packet, PacketActionKind::Drop, Reason::StateUnconfirmed, &backend, now);
    return reject(packet, PacketActionKind::ResetCaller, Reason::BackendGone, &backend, now);
}

bool TokenRouter::mayReset(FlowHash hash, Instant now)
{
    const bool mayReset = m_pendingResets.mayReset(hash, m_stateConfirmedAt, now);
    m_isConfirmationRequested = m_isConfirmationRequested || !mayReset;
    return mayReset;
}

PacketAction TokenRouter::reject(
    const PacketSummary& packet, PacketActionKind kind, Reason reason, const TrackedBackend* backend, Instant now) const
{
    PacketAction action;
    action.m_kind = kind;
    action.m_reason = reason;
    m_observer.rejected(packet, action, backend, now);
    return action;
}

TrackedBackend* TokenRouter::place(const ServiceMap::Entry& service, FlowHash hash, BackendToken excluded, Instant now)
{
    m_hasLeftOut = false;
    FlowDemand demand;
    demand.m_isLong = service.m_kind == RequestKind::Idempotent;
    demand.m_draw = hash.m_value;
    std::uint64_t weights = 0;
    for (const ServiceMap::Target& target : service.m_targets)
        weights += target.m_weight;
    std::uint64_t drawn = weights > 0 ? hashPair(hash.m_value, c_weightSalt) % weights : 0;
    std::size_t first = 0;
    while (first + 1 < service.m_targets.size() && drawn >= service.m_targets[first].m_weight)
        drawn -= service.m_targets[first++].m_weight;
    // If the drawn selector has no eligible backend server, tries the others, except those of weight 0.
    for (std::size_t i = 0; i < service.m_targets.size(); ++i) {
        const ServiceMap::Target& target = service.m_targets[(first + i) % service.m_targets.size()];
        if (target.m_weight == 0)
            continue;
        TrackedBackend* const placed = placeIn(poolOf(target.m_selector).m_backends, demand, excluded, now);
        if (placed)
            return placed;
    }
    return nullptr;
}

TrackedBackend* TokenRouter::placeIn(
    std::span<TrackedBackend* const> pool, const FlowDemand& demand, BackendToken excluded, Instant now)
{
    std::uint64_t leftOut = 0;
    const auto collect = [&](const auto& accepts) {
        m_eligible.clear();
        leftOut = 0;
        for (TrackedBackend* const backend : pool) {
            if (!backend->acceptsNewFlows() || backend->m_token == excluded || !accepts(*backend))
                continue;
            if (m_keepsWarmupBudget && lacksPermit(*backend, now))
                ++leftOut;
            else
                m_eligible.push_back(backend);
        }
        return !m_eligible.empty();
    };
    const auto isListed = [](const TrackedBackend& backend) {
        return backend.m_presence == Presence::Announced || backend.m_liveness.answeredAt() > backend.m_withdrawnAt;
    };
    const auto isResponsive = [this](const TrackedBackend& backend) { return !isSuspected(backend); };
    // Falls back to backend servers with expired entries, then to unresponsive ones.
    const bool found
        = collect([&](const TrackedBackend& backend) { return isListed(backend) && isResponsive(backend); })
        || collect([&](const TrackedBackend& backend) { return isResponsive(backend); })
        || collect([](const TrackedBackend&) { return true; });
    m_hasLeftOut = m_hasLeftOut || leftOut > 0;
    m_warmupCounts.m_leftOut += leftOut;
    if (!found)
        return nullptr;
    m_candidates.clear();
    for (const TrackedBackend* const backend : m_eligible) {
        FlowCandidate& candidate = m_candidates.emplace_back();
        candidate.m_isInLocalZone = backend->m_announced.m_server.m_zone == m_options.m_zone;
        if (m_options.m_learnsPace)
            applyPace(backend->m_pace.pace(now), candidate);
        else
            candidate.m_workFactor = isCold(*backend, now) ? c_warmupFactor : 1;
        candidate.m_slots = backend->m_announced.m_server.m_slots;
        candidate.m_activeRequests = backend->m_localLoad.m_activeRequests + backend->m_peerLoad.m_activeRequests;
        candidate.m_longFlows = backend->m_localLoad.m_longFlows + backend->m_peerLoad.m_longFlows;
    }
    TrackedBackend* const chosen = m_eligible[m_placement.choose(m_candidates, demand)];
    if (m_keepsWarmupBudget && isCold(*chosen, now)) {
        const ColdBackend budget = budgetOf(*chosen);
        m_warmupBudget->recordOpening(budget, chosen->m_warmupPermits, now);
        m_warmupCounts.m_permitsUsed += budget.m_rate > 0 ? 1 : 0;
    }
    return chosen;
}

/// Whether a backend server is cold, or may be without this VM's knowledge.
bool TokenRouter::isCold(const TrackedBackend& backend, Instant now) const
{
    if (now < backend.m_announced.m_warmAt)
        return true;
    return m_keepsWarmupBudget && !m_returnedZones.empty()
        && std::ranges::find(m_returnedZones, hashZone(backend.m_announced.m_server.m_zone), &ReturnedZone::m_zone)
        != m_returnedZones.end();
}

double TokenRouter::warmupRateOf(const TrackedBackend& backend) const
{
    return backend.m_warmupRate ? *backend.m_warmupRate : m_services.warmupRate(backend.m_announced.m_server.m_labels);
}

ColdBackend TokenRouter::budgetOf(TrackedBackend& backend) const
{
    backend.m_warmupRate = warmupRateOf(backend);
    return { backend.m_announced.m_identity.m_value, *backend.m_warmupRate,
        backend.m_announced.m_server.m_zone == m_options.m_zone };
}

/// Whether the budget forbids one more flow at a backend server. Precondition: m_keepsWarmupBudget.
bool TokenRouter::lacksPermit(TrackedBackend& backend, Instant now) const
{
    return isCold(backend, now) && !m_warmupBudget->mayOpen(budgetOf(backend), backend.m_warmupPermits, now);
}

std::size_t TokenRouter::budgetedBackends(Instant now) const
{
    std::size_t count = 0;
    if (!m_keepsWarmupBudget)
        return count;
    m_backends.forEach([&](const TrackedBackend& backend) {
        const bool isInUse = backend.m_presence != Presence::Departed && isCold(backend, now);
        count += isInUse && warmupRateOf(backend) > 0 ? 1 : 0;
    });
    return count;
}

void TokenRouter::updateZoneMembers(std::span<const ZoneMember> heardOf, Instant now)
{
    if (m_warmupBudget)
        m_warmupBudget->updateMembers(heardOf, now);
}

/// Applies that the declared rates have changed.
void TokenRouter::updateKeepsWarmupBudget()
{
    m_keepsWarmupBudget = m_warmupBudget && m_services.hasWarmupRates();
    m_backends.forEach([](TrackedBackend& backend) { backend.m_warmupRate.reset(); });
}

const TokenRouter::Pool& TokenRouter::poolOf(SelectorIndex selector)
{
    if (!m_poolsValid || m_poolGeneration != m_backends.generation()) {
        m_pools.assign(m_services.selectors().size(), {});
        m_poolGeneration = m_backends.generation();
        m_poolsValid = true;
        for (std::size_t i = 0; i < m_pools.size(); ++i)
            fillPool(static_cast<SelectorIndex>(i), m_pools[i]);
    }
    return m_pools[selector];
}

void TokenRouter::fillPool(SelectorIndex selector, Pool& pool)
{
    const Selector& wanted = m_services.selectors()[selector];
    m_backends.forEach([&](TrackedBackend& backend) {
        if (backend.m_presence == Presence::Departed || !matches(wanted, backend.m_announced.m_server.m_labels))
            return;
        if (isEvacuated(backend))
            pool.m_hasEvacuated = true;
        else
            pool.m_backends.push_back(&backend);
    });
}

bool TokenRouter::isEvacuated(const TrackedBackend& backend) const
{
    return !m_evacuatedZones.empty()
        && std::ranges::find(m_evacuatedZones, hashZone(backend.m_announced.m_server.m_zone)) != m_evacuatedZones.end();
}

void TokenRouter::setEvacuatedZones(std::span<const ZoneHash> zones, Instant now)
{
    m_isAwaitingEvacuations = false;
    if (std::ranges::equal(zones, m_evacuatedZones))
        return;
    for (const ZoneHash zone : m_evacuatedZones) {
        if (m_warmupBudget && std::ranges::find(zones, zone) == zones.end()) {
            std::erase_if(m_returnedZones, [zone](const ReturnedZone& returned) { return returned.m_zone == zone; });
            m_returnedZones.push_back({ zone, now });
        }
    }
    m_backends.forEach([&](TrackedBackend& backend) {
        const ZoneHash zone = hashZone(backend.m_announced.m_server.m_zone);
        if (isEvacuated(backend) && std::ranges::find(zones, zone) == zones.end())
            backend.m_pace.recordRecovery(now);
    });
    m_evacuatedZones.assign(zones.begin(), zones.end());
    m_poolsValid = false;
}

void TokenRouter::recordAnswer(TrackedBackend& backend, Instant now)
{
    const bool wasUnresponsive = backend.m_confirmedDead || backend.m_liveness.isUnresponsive();
    if (wasUnresponsive && !backend.m_liveness.hasAnsweredWithin(c_recoverySilence, now))
        backend.m_pace.recordRecovery(now);
    backend.m_liveness.recordAnswer(now);
    backend.m_confirmedDead = false;
    if (backend.m_announced.m_server.m_zone != m_options.m_zone) {
        LivenessTracker& zone = m_zoneLiveness[backend.m_announced.m_server.m_zone];
        const bool hasRecovered = zone.isUnresponsive() && !zone.hasAnsweredWithin(c_recoverySilence, now);
        zone.recordAnswer(now);
        if (hasRecovered)
            recordZoneRecovery(backend.m_announced.m_server.m_zone, now);
    }
    if (wasUnresponsive)
        m_observer.livenessChanged(backend, false, now);
}

void TokenRouter::recordZoneRecovery(std::string_view zone, Instant now)
{
    m_backends.forEach([zone, now](TrackedBackend& backend) {
        if (backend.m_announced.m_server.m_zone == zone)
            backend.m_pace.recordRecovery(now);
    });
}

void TokenRouter::recordAnswerTime(
    Endpoint service, TrackedBackend& backend, const FlowObservation& observation, Instant now)
{
    const auto baseline = m_baselines.find(service);
    if (baseline == m_baselines.end())
        return;
    const ObservedAnswer answer { now - observation.m_answeredSentAt, observation.m_loadWhenSent,
        backend.m_announced.m_server.m_slots };
    backend.m_pace.recordAnswer(answer, baseline->second.mean(), now);
    baseline->second.record(answer, backend.m_pace.pace(now).m_reason == PaceReason::Steady);
}

/// Keeps the baselines of the services that are still declared, and adds those of new ones.
void TokenRouter::updateBaselines(const ServiceDeclarations& declarations)
{
    if (!m_options.m_learnsPace)
        return;
    std::map<Endpoint, AnswerBaseline> baselines;
    for (const DeclaredService& service : declarations.m_services) {
        const auto known = m_baselines.find(service.m_address);
        baselines.emplace(service.m_address, known != m_baselines.end() ? known->second : AnswerBaseline {});
    }
    m_baselines = std::move(baselines);
}

void TokenRouter::reportPaceChanges(Instant now)
{
    if (!m_options.m_learnsPace)
        return;
    m_backends.forEach([this, now](TrackedBackend& backend) {
        const Pace pace = backend.m_pace.pace(now);
        if (pace.m_reason == std::exchange(backend.m_reportedPace, pace.m_reason))
            return;
        m_observer.paceChanged(backend, pace);
    });
}

void TokenRouter::recordMissingAnswer(TrackedBackend& backend, Instant sentAt, Instant now)
{
    const bool wasUnresponsive = backend.m_liveness.isUnresponsive();
    backend.m_liveness.recordUnansweredOpening(sentAt);
    if (m_options.m_learnsPace)
        backend.m_pace.recordMissingAnswer(now);
    if (backend.m_announced.m_server.m_zone != m_options.m_zone)
        m_zoneLiveness[backend.m_announced.m_server.m_zone].recordUnansweredOpening(sentAt);
    if (!wasUnresponsive && backend.m_liveness.isUnresponsive())
        m_observer.livenessChanged(backend, true, now);
}

/// Whether there is evidence that new flows would get no answer of the backend server.
bool TokenRouter::isSuspected(const TrackedBackend& backend) const
{
    return backend.m_confirmedDead || backend.m_liveness.isUnresponsive() || isInPartitionedZone(backend);
}

/// Whether the backend server is in another zone that has not answered since an opening packet there went unanswered.
bool TokenRouter::isInPartitionedZone(const TrackedBackend& backend) const
{
    const auto zone = m_zoneLiveness.find(backend.m_announced.m_server.m_zone);
    return zone != m_zoneLiveness.end() && zone->second.isUnresponsive();
}

/// Whether the flows of a backend server are certainly lost, so that their callers should open new ones.
bool TokenRouter::isGone(const TrackedBackend& backend, Instant now) const
{
    if (backend.m_confirmedDead)
        return true;
    const Instant answeredAt = backend.m_liveness.answeredAt();
    return backend.m_presence == Presence::Departed
        && (answeredAt == Instant {} || now - answeredAt > c_answerValidity);
}

PacketAction TokenRouter::forwardTo(const TrackedBackend& backend)
{
    PacketAction action;
    action.m_kind = PacketActionKind::ToBackend;
    action.m_target = backend.m_announced.m_server.m_tunnel;
    action.m_identity = backend.m_announced.m_identity.m_value;
    action.m_token = backend.m_token.m_value;
    return action;
}

bool TokenRouter::applyDeclarations(const ServiceDeclarations& declarations, Instant now)
{
    if (declarations.m_version <= m_services.version())
        return false;
    m_services = ServiceMap { declarations };
    updateBaselines(declarations);
    m_poolsValid = false;
    updateKeepsWarmupBudget();
    for (auto position = m_unnamedBackends.begin(); position != m_unnamedBackends.end();) {
        if (m_services.names(position->second.m_server.m_labels)) {
            m_backends.announce(position->second, now);
            position = m_unnamedBackends.erase(position);
        } else {
            ++position;
        }
    }
    return true;
}

void TokenRouter::replaceBackends(std::span<const AnnouncedBackend> announced, Instant now)
{
    m_unnamedBackends.clear();
    std::vector<AnnouncedBackend> named;
    for (const AnnouncedBackend& backend : announced) {
        if (m_services.names(backend.m_server.m_labels)) {
            named.push_back(backend);
            continue;
        }
        m_unnamedBackends.emplace(backend.m_identity, backend);
        if (std::optional<AnnouncedBackend> inUse = drainedInUse(backend.m_identity))
            named.push_back(std::move(*inUse));
    }
    m_backends.replaceAll(named, now);
}

void TokenRouter::announceBackend(const AnnouncedBackend& announced, Instant now)
{
    if (m_services.names(announced.m_server.m_labels)) {
        m_unnamedBackends.erase(announced.m_identity);
        m_backends.announce(announced, now);
        return;
    }
    m_unnamedBackends.insert_or_assign(announced.m_identity, announced);
    if (const std::optional<AnnouncedBackend> inUse = drainedInUse(announced.m_identity))
        m_backends.announce(*inUse, now);
}

void TokenRouter::withdrawBackend(BackendIdentity identity, Instant now)
{
    m_unnamedBackends.erase(identity);
    m_backends.withdraw(identity, now);
}

void TokenRouter::departBackend(BackendIdentity identity, Instant now)
{
    m_unnamedBackends.erase(identity);
    m_backends.depart(identity, now);
}

/// The last usable entry of a backend server whose entry has not been withdrawn, draining; nullopt if there is none.
std::optional<AnnouncedBackend> TokenRouter::drainedInUse(BackendIdentity identity) const
{
    const TrackedBackend* const backend = m_backends.find(tokenOf(identity));
    if (!backend || backend->m_announced.m_identity != identity || backend->m_presence != Presence::Announced)
        return std::nullopt;
    AnnouncedBackend drained = backend->m_announced;
    drained.m_server.m_draining = true;
    return drained;
}

void TokenRouter::applyPeerLoad(
    Endpoint peer, std::span<const BackendLoadReport> reports, Instant now, Duration timeout)
{
    PeerReports& stored = m_peerLoad[peer];
    removePeerLoad(stored);
    stored.m_reports.assign(reports.begin(), reports.end());
    stored.m_expiresAt = now + timeout;
    for (BackendLoadReport& report : stored.m_reports) {
        TrackedBackend* const backend = m_backends.find(report.m_backend);
        if (!backend) {
            report.m_load = BackendLoad {};
            continue;
        }
        backend->m_peerLoad.m_activeRequests += report.m_load.m_activeRequests;
        backend->m_peerLoad.m_longFlows += report.m_load.m_longFlows;
    }
}

void TokenRouter::removePeerLoad(const PeerReports& peer)
{
    for (const BackendLoadReport& report : peer.m_reports) {
        TrackedBackend* const backend = m_backends.find(report.m_backend);
        if (!backend)
            continue;
        BackendLoad& load = backend->m_peerLoad;
        load.m_activeRequests -= std::min(load.m_activeRequests, report.m_load.m_activeRequests);
        load.m_longFlows -= std::min(load.m_longFlows, report.m_load.m_longFlows);
    }
}

void TokenRouter::collectLocalLoad(std::vector<BackendLoadReport>& reports) const
{
    reports.clear();
    m_backends.forEach([&reports](const TrackedBackend& backend) {
        if (backend.m_localLoad != BackendLoad {})
            reports.push_back({ backend.m_token, backend.m_localLoad });
    });
}

std::vector<LivenessProbe> TokenRouter::takeProbes(Instant now)
{
    std::vector<LivenessProbe> probes;
    m_backends.forEach([&](TrackedBackend& backend) {
        const bool isWanted = backend.m_confirmedDead || backend.m_liveness.isSuspected();
        if (!isWanted || backend.m_isProbed || now < backend.m_probeAt || backend.m_presence == Presence::Departed)
            return;
        backend.m_isProbed = true;
        backend.m_recheckDelay
            = backend.m_confirmedDead ? std::min(2 * backend.m_recheckDelay, c_maxProbeInterval) : c_probeInterval;
        backend.m_probeAt = now + backend.m_recheckDelay;
        const bool isRecent = backend.m_liveness.hasAnsweredWithin(m_options.m_addressReuse, now);
        probes.push_back(probeOf(backend, backend.m_confirmedDead || !isRecent));
        probes.back().m_isRecheck = backend.m_confirmedDead;
    });
    return probes;
}

LivenessProbe TokenRouter::probeOf(const TrackedBackend& backend, bool mustIdentify) const
{
    const BackendServer& server = backend.m_announced.m_server;
    return { backend.m_token, backend.m_announced.m_identity, server.m_tunnel,
        std::string { m_services.healthPath(server.m_labels) }, mustIdentify, false };
}

std::optional<LivenessProbe> TokenRouter::controlProbe(BackendToken other, Instant now) const
{
    const TrackedBackend* best = nullptr;
    m_backends.forEach([&](const TrackedBackend& backend) {
        const bool isUsable = backend.m_token != other && !backend.m_confirmedDead
            && !backend.m_liveness.isUnresponsive() && backend.m_presence == Presence::Announced
            && backend.m_announced.m_server.m_zone == m_options.m_zone
            && backend.m_liveness.hasAnsweredWithin(c_maxControlAnswerAge, now);
        if (isUsable && (!best || backend.m_liveness.answeredAt() > best->m_liveness.answeredAt()))
            best = &backend;
    });
    return best ? std::optional { probeOf(*best, false) } : std::nullopt;
}

std::vector<FlowReset> TokenRouter::recordProbe(BackendToken token, ProbeOutcome outcome, Instant now)
{
    std::vector<FlowReset> resets;
    TrackedBackend* const backend = m_backends.find(token);
    if (!backend)
        return resets;
    backend->m_isProbed = false;
    if (outcome == ProbeOutcome::Answered)
        recordAnswer(*backend, now);
    if (outcome == ProbeOutcome::Unclear)
        backend->m_probeAt = std::min(backend->m_probeAt, now + c_unclearInterval);
    if (outcome != ProbeOutcome::Unanswered)
        return resets;
    // The backend server may have answered a caller, or this process may have been paused, during the probe.
    if (backend->m_confirmedDead || !backend->m_liveness.isSuspected())
        return resets;
    backend->m_confirmedDead = true;
    m_observer.livenessChanged(*backend, true, now);
    for (const TrackedFlow& flow : m_flows.closeActive(token))
        resets.push_back({ flow.m_key, flow.m_acknowledged });
    return resets;
}

void TokenRouter::applyDeadHints(std::span<const BackendToken> dead, ZoneHash senderZone, Instant now)
{
    const bool isFromLocalZone = senderZone == hashZone(m_options.m_zone);
    for (const BackendToken token : dead) {
        TrackedBackend* const backend = m_backends.find(token);
        if (!backend || backend->m_confirmedDead)
            continue;
        if (isFromLocalZone || senderZone == hashZone(backend->m_announced.m_server.m_zone))
            backend->m_liveness.recordHint(now);
    }
}

std::vector<BackendToken> TokenRouter::deadBackends() const
{
    std::vector<BackendToken> dead;
    m_backends.forEach([&dead](const TrackedBackend& backend) {
        if (backend.m_presence != Presence::Departed && backend.m_confirmedDead)
            dead.push_back(backend.m_token);
    });
    return dead;
}

void TokenRouter::tick(Instant now)
{
    m_backends.tick(now);
    for (auto position = m_peerLoad.begin(); position != m_peerLoad.end();) {
        if (now < position->second.m_expiresAt) {
            ++position;
        } else {
            removePeerLoad(position->second);
            position = m_peerLoad.erase(position);
        }
    }
    if (now >= m_nextSweepAt) {
        m_nextSweepAt = now + c_sweepInterval;
        for (const TrackedFlow& flow : m_flows.sweep(now))
            m_locator.recordRemoved(flow, now);
        reportPaceChanges(now);
        m_contestedFlows.sweep(now);
        m_locator.sweep(now);
        m_pendingResets.sweep(now);
    }
}

void TokenRouter::setStateConfirmed(Instant confirmedAt, bool hasNewerDeclarations)
{
    m_stateConfirmedAt = confirmedAt;
    std::erase_if(m_returnedZones, [confirmedAt](const ReturnedZone& zone) { return confirmedAt > zone.m_endedAt; });
    m_hasNewerDeclarations = hasNewerDeclarations;
}

void TokenRouter::applyPause(Deadline staleUntil)
{
    m_staleUntil = staleUntil;
    m_contestedFlows.recordGap(staleUntil + CarriedToken::s_maxAgeError);
    m_zoneLiveness.clear();
    m_backends.forEach([](TrackedBackend& backend) {
        backend.m_liveness.clearSuspicion();
        backend.m_confirmedDead = false;
    });
}

} // namespace cuminrelay
