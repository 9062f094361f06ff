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

/// A flow whose caller is to be reset although none of its packets is at hand.
struct FlowReset {
    FlowKey m_flow;
    std::uint32_t m_acknowledgment = 0; ///< of the caller, as last seen
};

/// What one entry VM tells the others of the work that its flows have at a backend server.
struct BackendLoadReport {
    BackendToken m_backend;
    BackendLoad m_load;

    friend constexpr bool operator==(const BackendLoadReport&, const BackendLoadReport&) = default;
};

/// Other VMs of a small zone tell their load several times within this.
inline constexpr Duration c_peerSilence = std::chrono::milliseconds { 600 };

/// Decides, for one entry VM, what becomes of each packet when the flow's packets carry the token of its backend
/// server. Any VM that knows the backend servers can serve any packet, so that nothing is handed over when VMs come and
/// go and no flow is copied. What is kept of flows only helps to place new ones and to notice backend servers that
/// died.
///
/// An opening is placed by FlowPlacement among the backend servers that the service's selectors take. A copy of it
/// goes to the same one, unless that one has shown no sign of life since.
class CarriedRouter final : public PacketRouter {
public:
    struct Options {
        std::string m_zone; ///< of this VM; its backend servers are preferred
        std::size_t m_trackedFlows = 100'000;
        Duration m_addressReuse = std::chrono::seconds { 2 }; ///< an address has no new owner sooner than this
    };

    /// placement and observer must outlive the router.
    CarriedRouter(Options options, FlowPlacement& placement, RouterObserver& observer);

    void decide(std::span<const PacketSummary> packets, std::span<Verdict> verdicts, Instant now) override;

    /// Takes declarations; false, and nothing is taken, when they are not newer than the ones in force.
    bool declare(const ServiceDeclarations& declarations);

    /// Whether a service that is not known here certainly is not declared. Until then nothing is refused for that.
    void setDeclarationsCurrent(bool current) { m_declarationsCurrent = current; }

    /// Takes what another VM tells of its flows. Replaces what it told before; forgotten when it falls silent for so
    /// long.
    void notePeerLoad(
        Endpoint peer, std::span<const BackendLoadReport> reports, Instant now, Duration silence = c_peerSilence);

    /// Another VM finds these dead. They are asked before this VM believes it. What a VM of another zone says counts
    /// only for backend servers of that zone, because between zones there may be a cut.
    void noteDeadHints(std::span<const BackendToken> dead, ZoneHash teller, Instant now);

    /// Backend servers that this VM found dead, for the others of its zone.
    std::vector<BackendToken> deadBackends() const;

    /// The work that this VM's own flows have, for the other VMs. Backend servers without any are left out.
    void ownLoad(std::vector<BackendLoadReport>& reports) const;

    /// Backend servers whose life is in doubt, or that were found dead a while ago, and are to be asked. noteProbe must
    /// say what came of each.
    std::vector<LifeProbe> takeProbes(Instant now);

    /// A backend server of the own zone that answered lately: when it does not take a connection either, the fault is
    /// this VM's own, and the silence of others proves nothing. Nothing when there is none.
    std::optional<LifeProbe> controlProbe(BackendToken other, Instant now) const;

    /// Returns the flows with requests at a backend server that was found dead by this: their callers need not wait.
    std::vector<FlowReset> noteProbe(BackendToken backend, ProbeOutcome outcome, Instant now);

    /// Call at least every 100 ms.
    void tick(Instant now);

    /// This process did not run for a while: what waited meanwhile is old, and silence meanwhile proves nothing.
    /// Openings that are decided on before staleUntil are dropped.
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
    std::map<std::string, LifeSigns, std::less<>> m_zones; ///< what shows of the other zones
    bool m_declarationsCurrent = false;
    Deadline m_staleUntil {};
    Deadline m_sweepAt {};
};

} // namespace cuminrelay
