#pragma once

#include "affinity/BackendCatalog.h"
#include "affinity/CarriedToken.h"
#include "affinity/ContestedFlows.h"
#include "affinity/FlowLocator.h"
#include "affinity/LivenessProbe.h"
#include "affinity/PendingResets.h"
#include "affinity/RouterObserver.h"
#include "affinity/ServiceMap.h"
#include "affinity/TrackedFlows.h"
#include "affinity/ZoneHash.h"
#include "pace/AnswerBaseline.h"
#include "packets/PacketRouter.h"
#include "placement/FlowPlacement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminrelay {

/// TCP reset to send to a flow's caller, not in response to a packet.
struct FlowReset {
    FlowKey m_flow;
    std::uint32_t m_acknowledgment = 0; ///< last acknowledgment number from the caller
};

/// Load of an entry VM's flows at a backend server, as reported to the other entry VMs.
struct BackendLoadReport {
    BackendToken m_backend;
    BackendLoad m_load;

    friend constexpr bool operator==(const BackendLoadReport&, const BackendLoadReport&) = default;
};

/// Time after which a peer's load reports expire. Peers in a small zone send several within it.
inline constexpr Duration c_peerLoadTimeout = std::chrono::milliseconds { 600 };

/// The budget of new flows at cold backend servers, as it worked at this VM.
struct WarmupCounts {
    std::uint64_t m_permitsUsed = 0; ///< flows opened at a cold backend server with a budget
    std::uint64_t m_leftOut = 0; ///< times that a placement left out a candidate without a permit
};

/// Routes the packets of one entry VM by their flow's backend token, which they carry. Any VM with the list of backend
/// servers can route any packet, so that no flow state is replicated, or handed over when VMs join or leave. Flow
/// records only serve to place new flows and to detect failed backend servers.
///
/// FlowPlacement places an opening packet among the backend servers that the service's selectors match. A retransmitted
/// opening packet goes to the same one, unless several packets to that one went unanswered. A flow whose opening packet
/// may have reached several backend servers stays with the one whose answer opened it, on all VMs: FlowLocator decides
/// which one that is.
class TokenRouter final : public PacketRouter {
public:
    struct Options {
        std::string m_zone; ///< zone of this VM; its backend servers are preferred
        std::size_t m_trackedFlowLimit = 100'000;
        Duration m_addressReuse = std::chrono::seconds { 2 }; ///< minimum time until an address gets a new owner
        bool m_awaitsEvacuations = false; ///< places no flow before the first setEvacuatedZones
        std::optional<WarmupBounds> m_warmupBounds {}; ///< absent: new flows to cold backend servers are not limited
        Endpoint m_self {}; ///< of this VM, as the other VMs name it; for m_warmupBounds
        Instant m_startedAt {}; ///< of this VM, which knows nothing of contested flows that were opened before
        bool m_learnsPace = false; ///< places flows by the pace of the backend servers, learned from their answers
    };

    /// placement and observer must outlive the router.
    TokenRouter(Options options, FlowPlacement& placement, RouterObserver& observer);

    void decide(std::span<const PacketSummary> packets, std::span<PacketAction> actions, Instant now) override;

    /// Applies declarations. Returns false, without effect, unless they are newer than the current ones.
    bool applyDeclarations(const ServiceDeclarations& declarations, Instant now);

    /// Apply the store's entries. An entry of a service that the declarations do not name may be of another writer, so
    /// it does not count, and changes nothing about other backend servers, until declarations name its service. If it
    /// replaces the entry of a backend server in use, that one keeps its flows and gets no new ones meanwhile.
    void replaceBackends(std::span<const AnnouncedBackend> announced, Instant now);
    void announceBackend(const AnnouncedBackend& announced, Instant now);

    /// Applies that an entry has disappeared or become unreadable.
    void withdrawBackend(BackendIdentity identity, Instant now);

    /// Applies that a backend server, whose entry disappeared earlier, is gone for good.
    void departBackend(BackendIdentity identity, Instant now);

    /// Entries that do not count because the declarations do not name their services.
    std::size_t unnamedBackends() const { return m_unnamedBackends.size(); }

    /// Sets the zones whose backend servers get no new flows and no opening packets; established flows stay. While the
    /// budget for cold backend servers is kept, those of a zone whose evacuation ends count as cold until a later
    /// setStateConfirmed: the store may announce their warm-up at the same time.
    void setEvacuatedZones(std::span<const ZoneHash> zones, Instant now);

    /// Sets the entry VMs of the local zone and when they were last heard of. They share the budget for cold backend
    /// servers. Call several times per second if there are warm-up bounds.
    void updateZoneMembers(std::span<const ZoneMember> heardOf, Instant now);

    const WarmupCounts& warmupCounts() const { return m_warmupCounts; }

    /// Cold backend servers whose new flows are limited.
    std::size_t budgetedBackends(Instant now) const;

    /// Whether new flows to some cold backend servers are limited.
    bool keepsWarmupBudget() const { return m_keepsWarmupBudget; }

    /// Sets the time as of which the declarations and backend servers are known to have been the store's (epoch:
    /// unknown), and whether newer declarations are known to exist. Without a recent confirmation, packets to unknown
    /// services are dropped, and flows that other VMs may have opened under a later state are not reset.
    void setStateConfirmed(Instant confirmedAt, bool hasNewerDeclarations);

    /// Returns whether a flow's reset waits for a later confirmation since the last call.
    bool takeConfirmationRequest() { return std::exchange(m_isConfirmationRequested, false); }

    /// Applies a peer's load reports, replacing its previous ones. They expire after the given time without new ones.
    void applyPeerLoad(
        Endpoint peer, std::span<const BackendLoadReport> reports, Instant now, Duration timeout = c_peerLoadTimeout);

    /// Applies another VM's list of dead backend servers. This VM probes them before it treats them as dead. A list
    /// from another zone counts only for backend servers of that zone, because the zones may be partitioned.
    void applyDeadHints(std::span<const BackendToken> dead, ZoneHash senderZone, Instant now);

    /// Returns the backend servers that this VM found dead.
    std::vector<BackendToken> deadBackends() const;

    /// Fills reports with the load of this VM's flows. Omits backend servers without load.
    void collectLocalLoad(std::vector<BackendLoadReport>& reports) const;

    /// Returns the backend servers due for a probe: suspected ones, and dead ones due for a recheck. Report each
    /// outcome to recordProbe.
    std::vector<LivenessProbe> takeProbes(Instant now);

    /// Returns a control for a probe of other: a probe of another backend server in the local zone that answered
    /// recently, or nullopt. If both probes fail, the fault is at this VM, and missing answers prove nothing.
    std::optional<LivenessProbe> controlProbe(BackendToken other, Instant now) const;

    /// Applies a probe's outcome. Returns the flows to reset: those with requests at a backend server confirmed dead.
    std::vector<FlowReset> recordProbe(BackendToken backend, ProbeOutcome outcome, Instant now);

    /// Call at least every 100 ms.
    void tick(Instant now);

    /// Sets the time of day, which dates the opening packets that this VM forwards: a VM that does not know all
    /// contested flows drops packets that may be of earlier ones. Call several times per second. A clock that jumps
    /// costs flows that are opened shortly after all VMs have restarted, and no others.
    void setTimeOfDay(Duration sinceUnixEpoch, Instant now) { m_locator.setTimeOfDay(sinceUnixEpoch, now); }

    /// Applies a pause of this process: queued packets are old, missing answers during the pause prove nothing, and
    /// contested flows of other VMs were missed. Drops opening packets until staleUntil.
    void applyPause(Deadline staleUntil);

    /// Flows whose opening packet may have reached several backend servers, to exchange with the other VMs.
    ContestedFlows& contestedFlows() { return m_contestedFlows; }
    const ContestedFlows& contestedFlows() const { return m_contestedFlows; }

    /// Applies what another VM found about a contested flow.
    void applyContestedFlow(const ContestedFlowReport& found, Instant now);

    /// Returns what this VM knows of the flows that another VM asks about.
    std::vector<ContestedFlowReport> answerQuestions(std::span<const FlowHash> flows, Instant now);

    /// Removes and returns the flows that this VM cannot locate, to ask the VMs of its zone about.
    std::vector<FlowHash> takeQuestions() { return m_locator.takeQuestions(); }
    const PendingResets& pendingResets() const { return m_pendingResets; }

    BackendCatalog& backends() { return m_backends; }
    const BackendCatalog& backends() const { return m_backends; }
    ConfigVersion configVersion() const { return m_services.version(); }
    std::size_t trackedFlows() const { return m_flows.size(); }
    bool learnsPace() const { return m_options.m_learnsPace; }
    bool isConfigured() const
    {
        return m_services.version() != ConfigVersion {} && m_backends.size() > 0 && !m_isAwaitingEvacuations;
    }

private:
    /// The backend servers that a selector matches.
    struct Pool {
        std::vector<TrackedBackend*> m_backends; ///< not in evacuated zones
        bool m_hasEvacuated = false; ///< others are in evacuated zones
    };

    /// A zone whose evacuation ended, and whose backend servers may have become cold unknown to this VM.
    struct ReturnedZone {
        ZoneHash m_zone;
        Instant m_endedAt {};
    };

    struct PeerReports {
        std::vector<BackendLoadReport> m_reports;
        Deadline m_expiresAt;
    };

    PacketAction decideOne(const PacketSummary& packet, Instant now);
    PacketAction decideOpening(const PacketSummary& packet, FlowHash hash, Instant now);
    PacketAction decideMidstream(const PacketSummary& packet, FlowHash hash, Instant now);
    PacketAction decideRetransmittedOpening(const PacketSummary& packet, FlowHash hash, TrackedFlow& flow, Instant now);
    TrackedFlow* recordOf(const PacketSummary& packet, FlowHash hash);
    PacketAction forwardOpeningTo(
        const TrackedBackend& backend, const PacketSummary& packet, FlowHash hash, Instant now);
    PacketAction decideOpeningOfUnknownService(const PacketSummary& packet, Instant now);
    PacketAction decideMidstreamOfUnknownService(const PacketSummary& packet, FlowHash hash, Instant now);
    PacketAction decideMidstreamOfGoneBackend(
        const PacketSummary& packet, FlowHash hash, const TrackedBackend& backend, Instant now);
    bool mayReset(FlowHash hash, Instant now);
    PacketAction reject(const PacketSummary& packet, PacketActionKind kind, Reason reason,
        const TrackedBackend* backend, Instant now) const;
    TrackedBackend* place(const ServiceMap::Entry& service, FlowHash hash, BackendToken excluded, Instant now);
    TrackedBackend* placeIn(
        std::span<TrackedBackend* const> pool, const FlowDemand& demand, BackendToken excluded, Instant now);
    PacketAction refuseUnplaced(
        const ServiceMap::Entry& service, const PacketSummary& packet, const TrackedBackend* backend, Instant now);
    const Pool& poolOf(SelectorIndex selector);
    void fillPool(SelectorIndex selector, Pool& pool);
    bool isEvacuated(const TrackedBackend& backend) const;
    bool isCold(const TrackedBackend& backend, Instant now) const;
    double warmupRateOf(const TrackedBackend& backend) const;
    ColdBackend budgetOf(TrackedBackend& backend) const;
    bool lacksPermit(TrackedBackend& backend, Instant now) const;
    void updateKeepsWarmupBudget();
    std::optional<AnnouncedBackend> drainedInUse(BackendIdentity identity) const;
    void recordAnswer(TrackedBackend& backend, Instant now);
    void recordAnswerTime(Endpoint service, TrackedBackend& backend, const FlowObservation& observation, Instant now);
    void recordZoneRecovery(std::string_view zone, Instant now);
    void updateBaselines(const ServiceDeclarations& declarations);
    void reportPaceChanges(Instant now);
    bool isSuspected(const TrackedBackend& backend) const;
    void recordMissingAnswer(TrackedBackend& backend, Instant sentAt, Instant now);
    LivenessProbe probeOf(const TrackedBackend& backend, bool mustIdentify) const;
    bool isInPartitionedZone(const TrackedBackend& backend) const;
    bool isGone(const TrackedBackend& backend, Instant now) const;
    void removePeerLoad(const PeerReports& peer);
    static PacketAction forwardTo(const TrackedBackend& backend);

    Options m_options;
    FlowPlacement& m_placement;
    RouterObserver& m_observer;
    ServiceMap m_services;
    BackendCatalog m_backends;
    std::map<BackendIdentity, AnnouncedBackend> m_unnamedBackends; ///< of services that the declarations do not name
    TrackedFlows m_flows;
    std::map<Endpoint, PeerReports> m_peerLoad;
    std::vector<Pool> m_pools; ///< by selector, valid at m_poolGeneration
    std::uint64_t m_poolGeneration = 0;
    bool m_poolsValid = false;
    std::vector<TrackedBackend*> m_eligible; // reused by each placement
    std::vector<FlowCandidate> m_candidates; // at the index of m_eligible; reused as well
    std::map<std::string, LivenessTracker, std::less<>> m_zoneLiveness; ///< by name of another zone
    std::map<Endpoint, AnswerBaseline> m_baselines; ///< by address of each declared service; empty if !m_learnsPace
    ContestedFlows m_contestedFlows;
    FlowLocator m_locator;
    PendingResets m_pendingResets;
    std::vector<ZoneHash> m_evacuatedZones;
    bool m_isAwaitingEvacuations;
    std::optional<WarmupBudget> m_warmupBudget;
    bool m_keepsWarmupBudget = false; ///< m_warmupBudget has a value and a rate is declared
    bool m_hasLeftOut = false; ///< the last call of place left out a candidate without a permit
    std::vector<ReturnedZone> m_returnedZones; ///< empty unless m_warmupBudget has a value
    WarmupCounts m_warmupCounts;
    Instant m_stateConfirmedAt {};
    bool m_hasNewerDeclarations = false;
    bool m_isConfirmationRequested = false;
    Deadline m_staleUntil {};
    Deadline m_nextSweepAt {};
};

} // namespace cuminrelay
