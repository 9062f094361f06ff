#pragma once

#include "affinity/BackendCatalog.h"
#include "affinity/LifeProbe.h"
#include "affinity/RouterObserver.h"
#include "affinity/ServiceMap.h"
#include "affinity/TrackedFlows.h"
#include "affinity/ZoneHash.h"
#include "packets/PacketRouter.h"
#include "placement/FlowPlacement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

/// Reset to send to a flow's caller without a packet from it.
struct FlowReset {
    FlowKey m_flow;
    std::uint32_t m_acknowledgment = 0; ///< last one seen from the caller
};

/// Load of an entry VM's flows at a backend server, as reported to the other entry VMs.
struct BackendLoadReport {
    BackendToken m_backend;
    BackendLoad m_load;

    friend constexpr bool operator==(const BackendLoadReport&, const BackendLoadReport&) = default;
};

/// Time after which a peer's load reports expire. Peers in a small zone send several within it.
inline constexpr Duration c_peerSilence = std::chrono::milliseconds { 600 };

/// Routes the packets of one entry VM by their flow's backend token, which they carry. Any VM with the list of backend
/// servers can route any packet, so that no flow state is replicated, or handed over when VMs join or leave. Flow
/// records only serve to place new flows and to detect failed backend servers.
///
/// FlowPlacement places an opening packet among the backend servers that the service's selectors match. A retransmitted
/// opening packet goes to the same one, unless that one has not answered since.
class CarriedRouter final : public PacketRouter {
public:
    struct Options {
        std::string m_zone; ///< zone of this VM; its backend servers are preferred
        std::size_t m_trackedFlows = 100'000;
        Duration m_addressReuse = std::chrono::seconds { 2 }; ///< minimum time until an address gets a new owner
    };

    /// placement and observer must outlive the router.
    CarriedRouter(Options options, FlowPlacement& placement, RouterObserver& observer);

    void decide(std::span<const PacketSummary> packets, std::span<Verdict> verdicts, Instant now) override;

    /// Applies declarations. Returns false, without effect, unless they are newer than the current ones.
    bool declare(const ServiceDeclarations& declarations);

    /// Sets whether the declarations are current. Until then, packets to unknown services are dropped.
    void setDeclarationsCurrent(bool current) { m_declarationsCurrent = current; }

    /// Applies a peer's load reports, replacing its previous ones. They expire after the given time without new ones.
    void notePeerLoad(
        Endpoint peer, std::span<const BackendLoadReport> reports, Instant now, Duration silence = c_peerSilence);

    /// Applies another VM's list of dead backend servers. This VM probes them before it treats them as dead. A list
    /// from another zone counts only for backend servers of that zone, because the zones may be partitioned.
    void noteDeadHints(std::span<const BackendToken> dead, ZoneHash teller, Instant now);

    /// Returns the backend servers that this VM found dead, for the other VMs of its zone.
    std::vector<BackendToken> deadBackends() const;

    /// Fills reports with the load of this VM's flows, for the other VMs. Omits backend servers without load.
    void ownLoad(std::vector<BackendLoadReport>& reports) const;

    /// Returns the backend servers due for a probe: suspected ones, and dead ones due for a recheck. Report each
    /// outcome to noteProbe.
    std::vector<LifeProbe> takeProbes(Instant now);

    /// Returns a probe of a backend server in the local zone that answered recently, or nullopt. If it accepts no
    /// connection either, the fault is at this VM, and missing answers from others prove nothing.
    std::optional<LifeProbe> controlProbe(BackendToken other, Instant now) const;

    /// Returns the flows to reset: those with requests at the backend server, if the outcome confirms it dead.
    std::vector<FlowReset> noteProbe(BackendToken backend, ProbeOutcome outcome, Instant now);

    /// Call at least every 100 ms.
    void tick(Instant now);

    /// Applies a pause of this process: queued packets are old, and missing answers during the pause prove nothing.
    /// Drops opening packets until staleUntil.
    void notePause(Deadline staleUntil);

    BackendCatalog& backends() { return m_backends; }
    const BackendCatalog& backends() const { return m_backends; }
    ConfigVersion configVersion() const { return m_services.version(); }
    std::size_t trackedFlows() const { return m_flows.size(); }
    bool isConfigured() const { return m_services.version() != ConfigVersion {} && m_backends.size() > 0; }

private:
    struct PeerReports {
        std::vector<BackendLoadReport> m_reports;
        Deadline m_staleAt;
    };

    Verdict decideOne(const PacketSummary& packet, Instant now);
    Verdict decideOpening(const PacketSummary& packet, FlowHash hash, Instant now);
    Verdict decideMidstream(const PacketSummary& packet, FlowHash hash, Instant now);
    Verdict openAgain(const PacketSummary& packet, FlowHash hash, TrackedFlow& flow, Instant now);
    Verdict turnAway(
        const PacketSummary& packet, VerdictKind kind, Reason reason, const KnownBackend* backend, Instant now) const;
    KnownBackend* place(const ServiceMap::Entry& service, FlowHash hash, BackendToken avoided, Instant now);
    KnownBackend* placeIn(
        std::span<KnownBackend* const> pool, const FlowDemand& demand, BackendToken avoided, Instant now);
    std::span<KnownBackend* const> poolOf(SelectorIndex selector);
    void noteAnswer(KnownBackend& backend, Instant now);
    void noteSilence(KnownBackend& backend, Instant sentAt, Instant now);
    LifeProbe probeOf(const KnownBackend& backend, bool mustIdentify) const;
    bool isBeyondCut(const KnownBackend& backend) const;
    bool isGone(const KnownBackend& backend, Instant now) const;
    bool knowsAllServices() const { return m_declarationsCurrent && m_services.version() != ConfigVersion {}; }
    void forgetPeer(const PeerReports& peer);
    static Verdict forwardTo(const KnownBackend& backend);

    Options m_options;
    FlowPlacement& m_placement;
    RouterObserver& m_observer;
    ServiceMap m_services;
    BackendCatalog m_backends;
    TrackedFlows m_flows;
    std::map<Endpoint, PeerReports> m_peers;
    std::vector<std::vector<KnownBackend*>> m_pools; ///< by selector, valid at m_poolGeneration
    std::uint64_t m_poolGeneration = 0;
    bool m_poolsValid = false;
    std::vector<KnownBackend*> m_eligible; // reused by each placement
    std::vector<FlowCandidate> m_candidates; // likewise
    std::map<std::string, LifeSigns, std::less<>> m_zones; ///< liveness of the other zones
    bool m_declarationsCurrent = false;
    Deadline m_staleUntil {};
    Deadline m_sweepAt {};
};

} // namespace cuminrelay
