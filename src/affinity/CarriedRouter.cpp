#include "affinity/CarriedRouter.h"

#include "base/Assert.h"
#include "base/Hash.h"
#include "configuration/Selector.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr Duration c_sweepInterval = std::chrono::milliseconds { 500 };

    /// A copy that arrives sooner is a network duplicate and proves nothing about the backend server.
    constexpr Duration c_earliestCopy = std::chrono::milliseconds { 150 };

    /// A backend server that answered within this time is alive, whatever the store states.
    constexpr Duration c_recentAnswer = std::chrono::seconds { 2 };

    /// Initial and maximum intervals between probes of a dead backend server.
    constexpr Duration c_probeInterval = std::chrono::seconds { 1 };
    constexpr Duration c_longestRecheck = std::chrono::seconds { 4 };

    /// Interval to the next probe after an unclear outcome.
    constexpr Duration c_unclearInterval = std::chrono::milliseconds { 300 };

    /// A backend server that answered within this time is expected to accept a connection.
    constexpr Duration c_controlAge = std::chrono::seconds { 2 };

    constexpr std::uint64_t c_weightSalt = 0x77656967; // "weig"

} // namespace

CarriedRouter::CarriedRouter(Options options, FlowPlacement& placement, RouterObserver& observer)
    : m_options(std::move(options))
    , m_placement(placement)
    , m_observer(observer)
    , m_flows(m_backends, m_options.m_trackedFlows)
{
}

void CarriedRouter::decide(std::span<const PacketSummary> packets, std::span<Verdict> verdicts, Instant now)
{
    CR_ASSERT(packets.size() <= verdicts.size(), "decide needs an action for each packet");
    for (std::size_t i = 0; i < packets.size(); ++i)
        verdicts[i] = decideOne(packets[i], now);
}

Verdict CarriedRouter::decideOne(const PacketSummary& packet, Instant now)
{
    const FlowHash hash = hashFlow(packet.m_flow);
    return packet.m_kind == PacketKind::Opening ? decideOpening(packet, hash, now) : decideMidstream(packet, hash, now);
}

Verdict CarriedRouter::decideOpening(const PacketSummary& packet, FlowHash hash, Instant now)
{
    if (now < m_staleUntil)
        return turnAway(packet, VerdictKind::Drop, Reason::StaleAfterPause, nullptr, now);
    const ServiceMap::Entry* const service = m_services.find(packet.m_flow.m_service);
    if (!service && !knowsAllServices())
        return turnAway(packet, VerdictKind::Drop, Reason::NotConfigured, nullptr, now);
    if (!service)
        return turnAway(packet, VerdictKind::Refuse, Reason::UnknownService, nullptr, now);
    if (!isConfigured())
        return turnAway(packet, VerdictKind::Drop, Reason::NotConfigured, nullptr, now);
    TrackedFlow* const known = m_flows.find(hash);
    // A caller that reuses its port starts at another sequence number.
    const bool isCopy
        = known && known->wasOpenedHere() && (packet.m_copy > 0 || packet.m_sequence == known->m_openingSequence);
    if (isCopy)
        return openAgain(packet, hash, *known, now);
    KnownBackend* const backend = place(*service, hash, BackendToken {}, now);
    if (!backend)
        return turnAway(packet, VerdictKind::Refuse, Reason::NoBackendServer, nullptr, now);
    TrackedFlow* const flow
        = m_flows.open(hash, packet.m_flow, backend->m_token, service->m_kind == RequestKind::Idempotent, now);
    if (flow)
        flow->m_openingSequence = packet.m_sequence;
    m_observer.placed(packet, *backend, PlacementCause::New, m_eligible.size(), now);
    return forwardTo(*backend);
}

/// Decides on the retransmitted opening packet of a flow placed here. Two backend servers that both answer would
/// compete for the flow, so that a second one is chosen only when the first has not answered since.
Verdict CarriedRouter::openAgain(const PacketSummary& packet, FlowHash hash, TrackedFlow& flow, Instant now)
{
    KnownBackend* const first = m_backends.find(flow.m_backend);
    const bool isLate = now - flow.m_openedAt >= c_earliestCopy;
    if (first && isLate && !flow.m_isEstablished)
        noteSilence(*first, flow.m_openedAt, now);
    const bool hasAnswered = first && first->m_life.answeredAt() >= flow.m_openedAt;
    if (first && (flow.m_isEstablished || !isLate || (hasAnswered && first->takesNewFlows()))) {
        m_observer.placed(packet, *first, PlacementCause::Copy, 1, now);
        return forwardTo(*first);
    }
    const ServiceMap::Entry* const service = m_services.find(packet.m_flow.m_service);
    KnownBackend* const second = place(*service, hash, flow.m_backend, now);
    if (!second)
        return turnAway(packet, VerdictKind::Refuse, Reason::NoBackendServer, first, now);
    if (second->m_token != flow.m_backend) {
        m_flows.move(flow, second->m_token);
        flow.m_openedAt = now;
    }
    m_observer.placed(packet, *second, PlacementCause::SecondChoice, m_eligible.size(), now);
    return forwardTo(*second);
}

Verdict CarriedRouter::decideMidstream(const PacketSummary& packet, FlowHash hash, Instant now)
{
    const ServiceMap::Entry* const service = m_services.find(packet.m_flow.m_service);
    if (!service) {
        m_flows.close(hash);
        if (!knowsAllServices())
            return turnAway(packet, VerdictKind::Drop, Reason::NotConfigured, nullptr, now);
        return turnAway(packet, VerdictKind::ResetCaller, Reason::UnknownService, nullptr, now);
    }
    const BackendToken carried { packet.m_carriedToken };
    TrackedFlow* flow = m_flows.find(hash);
    // The first packet after the opening packet carries the token of the answer that opened the flow. A later token may
    // be that of another backend server, which answered a retransmitted opening packet.
    const bool isPinned = flow && flow->wasOpenedHere() && flow->m_isEstablished;
    if (flow && !isPinned && flow->m_backend != carried && carried != BackendToken {})
        m_flows.move(*flow, carried);
    const BackendToken token = isPinned || carried == BackendToken {} ? (flow ? flow->m_backend : carried) : carried;
    KnownBackend* const backend = m_backends.find(token);
    if (!backend)
        return turnAway(packet, VerdictKind::Drop, Reason::UnknownBackend, nullptr, now);
    if (isGone(*backend, now)) {
        m_flows.close(hash);
        if (packet.m_kind == PacketKind::Reset)
            return Verdict { VerdictKind::Drop, Reason::BackendGone, {}, {}, 0, 0 };
        return turnAway(packet, VerdictKind::ResetCaller, Reason::BackendGone, backend, now);
    }
    if (!flow && packet.m_kind == PacketKind::Midstream)
        flow = m_flows.adopt(hash, packet.m_flow, token, service->m_kind == RequestKind::Idempotent, now);
    if (flow) {
        const FlowObservation seen = m_flows.observe(*flow, packet, now);
        if (seen.m_isAnswer)
            noteAnswer(*backend, now);
        else if (seen.m_isRepetition && flow->m_isActive && now - flow->m_activeSince >= c_earliestCopy)
            backend->m_life.noteUnansweredData(flow->m_activeSince);
    }
    if (packet.m_kind == PacketKind::HalfClose || packet.m_kind == PacketKind::Reset)
        m_flows.close(hash);
    return forwardTo(*backend);
}

Verdict CarriedRouter::turnAway(
    const PacketSummary& packet, VerdictKind kind, Reason reason, const KnownBackend* backend, Instant now) const
{
    Verdict verdict;
    verdict.m_kind = kind;
    verdict.m_reason = reason;
    m_observer.turnedAway(packet, verdict, backend, now);
    return verdict;
}

KnownBackend* CarriedRouter::place(const ServiceMap::Entry& service, FlowHash hash, BackendToken avoided, Instant now)
{
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
        KnownBackend* const placed = placeIn(poolOf(target.m_selector), demand, avoided, now);
        if (placed)
            return placed;
    }
    return nullptr;
}

KnownBackend* CarriedRouter::placeIn(
    std::span<KnownBackend* const> pool, const FlowDemand& demand, BackendToken avoided, Instant now)
{
    const auto collect = [this, pool, avoided](const auto& accepts) {
        m_eligible.clear();
        for (KnownBackend* const backend : pool) {
            if (backend->takesNewFlows() && backend->m_token != avoided && accepts(*backend))
                m_eligible.push_back(backend);
        }
        return !m_eligible.empty();
    };
    const auto isListed = [](const KnownBackend& backend) {
        return backend.m_presence == Presence::Announced || backend.m_life.answeredAt() > backend.m_withdrawnAt;
    };
    const auto isSound = [this](const KnownBackend& backend) {
        return !backend.m_confirmedDead && !backend.m_life.isSilent() && !isBeyondCut(backend);
    };
    // Falls back to backend servers with expired entries, then to unresponsive ones.
    const bool found = collect([&](const KnownBackend& backend) { return isListed(backend) && isSound(backend); })
        || collect([&](const KnownBackend& backend) { return isSound(backend); })
        || collect([](const KnownBackend&) { return true; });
    if (!found)
        return nullptr;
    m_candidates.clear();
    for (const KnownBackend* const backend : m_eligible) {
        FlowCandidate& candidate = m_candidates.emplace_back();
        candidate.m_isNear = backend->m_announced.m_server.m_zone == m_options.m_zone;
        candidate.m_isCold = now < backend->m_announced.m_warmAt;
        candidate.m_slots = backend->m_announced.m_server.m_slots;
        candidate.m_activeRequests = backend->m_own.m_activeRequests + backend->m_peers.m_activeRequests;
        candidate.m_longFlows = backend->m_own.m_longFlows + backend->m_peers.m_longFlows;
    }
    return m_eligible[m_placement.choose(m_candidates, demand)];
}

std::span<KnownBackend* const> CarriedRouter::poolOf(SelectorIndex selector)
{
    if (!m_poolsValid || m_poolGeneration != m_backends.generation()) {
        m_pools.assign(m_services.selectors().size(), {});
        m_poolGeneration = m_backends.generation();
        m_poolsValid = true;
        for (std::size_t i = 0; i < m_pools.size(); ++i) {
            const Selector& wanted = m_services.selectors()[i];
            m_backends.forEach([&](KnownBackend& backend) {
                if (backend.m_presence != Presence::Departed && matches(wanted, backend.m_announced.m_server.m_labels))
                    m_pools[i].push_back(&backend);
            });
        }
    }
    return m_pools[selector];
}

void CarriedRouter::noteAnswer(KnownBackend& backend, Instant now)
{
    const bool wasSilent = backend.m_confirmedDead || backend.m_life.isSilent();
    backend.m_life.noteAnswer(now);
    backend.m_confirmedDead = false;
    if (backend.m_announced.m_server.m_zone != m_options.m_zone)
        m_zones[backend.m_announced.m_server.m_zone].noteAnswer(now);
    if (wasSilent)
        m_observer.lifeChanged(backend, false, now);
}

void CarriedRouter::noteSilence(KnownBackend& backend, Instant sentAt, Instant now)
{
    const bool wasSilent = backend.m_life.isSilent();
    backend.m_life.noteUnansweredOpening(sentAt);
    if (backend.m_announced.m_server.m_zone != m_options.m_zone)
        m_zones[backend.m_announced.m_server.m_zone].noteUnansweredOpening(sentAt);
    if (!wasSilent && backend.m_life.isSilent())
        m_observer.lifeChanged(backend, true, now);
}

/// Whether the backend server is in another zone that has not answered since an opening packet there went unanswered.
bool CarriedRouter::isBeyondCut(const KnownBackend& backend) const
{
    const auto zone = m_zones.find(backend.m_announced.m_server.m_zone);
    return zone != m_zones.end() && zone->second.isSilent();
}

/// Whether the flows of a backend server are certainly lost, so that their callers should open new ones.
bool CarriedRouter::isGone(const KnownBackend& backend, Instant now) const
{
    if (backend.m_confirmedDead)
        return true;
    const Instant answeredAt = backend.m_life.answeredAt();
    return backend.m_presence == Presence::Departed && (answeredAt == Instant {} || now - answeredAt > c_recentAnswer);
}

Verdict CarriedRouter::forwardTo(const KnownBackend& backend)
{
    Verdict verdict;
    verdict.m_kind = VerdictKind::ToBackend;
    verdict.m_target = backend.m_announced.m_server.m_tunnel;
    verdict.m_identity = backend.m_announced.m_identity.m_value;
    verdict.m_token = backend.m_token.m_value;
    return verdict;
}

bool CarriedRouter::declare(const ServiceDeclarations& declarations)
{
    if (declarations.m_version <= m_services.version())
        return false;
    m_services = ServiceMap { declarations };
    m_poolsValid = false;
    return true;
}

void CarriedRouter::notePeerLoad(
    Endpoint peer, std::span<const BackendLoadReport> reports, Instant now, Duration silence)
{
    PeerReports& known = m_peers[peer];
    forgetPeer(known);
    known.m_reports.assign(reports.begin(), reports.end());
    known.m_staleAt = now + silence;
    for (BackendLoadReport& report : known.m_reports) {
        KnownBackend* const backend = m_backends.find(report.m_backend);
        if (!backend) {
            report.m_load = BackendLoad {};
            continue;
        }
        backend->m_peers.m_activeRequests += report.m_load.m_activeRequests;
        backend->m_peers.m_longFlows += report.m_load.m_longFlows;
    }
}

void CarriedRouter::forgetPeer(const PeerReports& peer)
{
    for (const BackendLoadReport& report : peer.m_reports) {
        KnownBackend* const backend = m_backends.find(report.m_backend);
        if (!backend)
            continue;
        BackendLoad& load = backend->m_peers;
        load.m_activeRequests -= std::min(load.m_activeRequests, report.m_load.m_activeRequests);
        load.m_longFlows -= std::min(load.m_longFlows, report.m_load.m_longFlows);
    }
}

void CarriedRouter::ownLoad(std::vector<BackendLoadReport>& reports) const
{
    reports.clear();
    m_backends.forEach([&reports](const KnownBackend& backend) {
        if (backend.m_own != BackendLoad {})
            reports.push_back({ backend.m_token, backend.m_own });
    });
}

std::vector<LifeProbe> CarriedRouter::takeProbes(Instant now)
{
    std::vector<LifeProbe> probes;
    m_backends.forEach([&](KnownBackend& backend) {
        const bool isWanted = backend.m_confirmedDead || backend.m_life.isDoubted();
        if (!isWanted || backend.m_isProbed || now < backend.m_probeAt || backend.m_presence == Presence::Departed)
            return;
        backend.m_isProbed = true;
        backend.m_recheckDelay
            = backend.m_confirmedDead ? std::min(2 * backend.m_recheckDelay, c_longestRecheck) : c_probeInterval;
        backend.m_probeAt = now + backend.m_recheckDelay;
        const bool isRecent = backend.m_life.hasAnsweredWithin(m_options.m_addressReuse, now);
        probes.push_back(probeOf(backend, backend.m_confirmedDead || !isRecent));
        probes.back().m_isRecheck = backend.m_confirmedDead;
    });
    return probes;
}

LifeProbe CarriedRouter::probeOf(const KnownBackend& backend, bool mustIdentify) const
{
    const BackendServer& server = backend.m_announced.m_server;
    return { backend.m_token, backend.m_announced.m_identity, server.m_tunnel,
        std::string { m_services.healthPath(server.m_labels) }, mustIdentify, false };
}

std::optional<LifeProbe> CarriedRouter::controlProbe(BackendToken other, Instant now) const
{
    const KnownBackend* best = nullptr;
    m_backends.forEach([&](const KnownBackend& backend) {
        const bool isUsable = backend.m_token != other && !backend.m_confirmedDead && !backend.m_life.isSilent()
            && backend.m_presence == Presence::Announced && backend.m_announced.m_server.m_zone == m_options.m_zone
            && backend.m_life.hasAnsweredWithin(c_controlAge, now);
        if (isUsable && (!best || backend.m_life.answeredAt() > best->m_life.answeredAt()))
            best = &backend;
    });
    return best ? std::optional { probeOf(*best, false) } : std::nullopt;
}

std::vector<FlowReset> CarriedRouter::noteProbe(BackendToken token, ProbeOutcome outcome, Instant now)
{
    std::vector<FlowReset> resets;
    KnownBackend* const backend = m_backends.find(token);
    if (!backend)
        return resets;
    backend->m_isProbed = false;
    if (outcome == ProbeOutcome::Answered)
        noteAnswer(*backend, now);
    if (outcome == ProbeOutcome::Unclear)
        backend->m_probeAt = std::min(backend->m_probeAt, now + c_unclearInterval);
    if (outcome != ProbeOutcome::Unanswered)
        return resets;
    // The backend server may have answered a caller, or this process may have been paused, during the probe.
    if (backend->m_confirmedDead || !backend->m_life.isDoubted())
        return resets;
    backend->m_confirmedDead = true;
    m_observer.lifeChanged(*backend, true, now);
    for (const TrackedFlow& flow : m_flows.closeActive(token))
        resets.push_back({ flow.m_key, flow.m_acknowledged });
    return resets;
}

void CarriedRouter::noteDeadHints(std::span<const BackendToken> dead, ZoneHash teller, Instant now)
{
    const bool isNear = teller == hashZone(m_options.m_zone);
    for (const BackendToken token : dead) {
        KnownBackend* const backend = m_backends.find(token);
        if (!backend || backend->m_confirmedDead)
            continue;
        if (isNear || teller == hashZone(backend->m_announced.m_server.m_zone))
            backend->m_life.noteHint(now);
    }
}

std::vector<BackendToken> CarriedRouter::deadBackends() const
{
    std::vector<BackendToken> dead;
    m_backends.forEach([&dead](const KnownBackend& backend) {
        if (backend.m_presence != Presence::Departed && backend.m_confirmedDead)
            dead.push_back(backend.m_token);
    });
    return dead;
}

void CarriedRouter::tick(Instant now)
{
    m_backends.tick(now);
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        if (now < position->second.m_staleAt) {
            ++position;
        } else {
            forgetPeer(position->second);
            position = m_peers.erase(position);
        }
    }
    if (now >= m_sweepAt) {
        m_sweepAt = now + c_sweepInterval;
        m_flows.sweep(now);
    }
}

void CarriedRouter::notePause(Deadline staleUntil)
{
    m_staleUntil = staleUntil;
    m_zones.clear();
    m_backends.forEach([](KnownBackend& backend) {
        backend.m_life.forgive();
        backend.m_confirmedDead = false;
    });
}

} // namespace cuminrelay
