#pragma once

#include "affinity/NullRouterObserver.h"
#include "affinity/TokenRouter.h"
#include "bench/FleetDesign.h"
#include "exchange/ExchangePeers.h"
#include "exchange/LoadMessageSchedule.h"
#include "placement/LeastWorkPlacement.h"
#include "relay/PauseDetector.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrelay {

/// The product's design for packets with a token of their flow's backend server. Runs the real TokenRouter and
/// ExchangePeers of each VM, delivers load messages by function call, and stores the callers' tokens by flow.
///
/// Suspected backend servers are not probed. Reports, in place of the store, state which ones failed. A datagram
/// without a token is routed as an opening packet, as by a front end for datagrams.
class TokenDesign final : public FleetDesign {
public:
    /// addresses: the peer endpoint of each VM. zones: assigned round robin. network must outlive the design.
    TokenDesign(std::span<const Endpoint> addresses, std::span<const std::string> zones, FleetNetwork& network,
        std::unique_ptr<FlowPlacement> placement = std::make_unique<LeastWorkPlacement>());

    std::string_view name() const override { return "carried"; }
    void start(VmIndex vm, Instant now) override;
    void stop(VmIndex vm) override;
    void beginLeaving(VmIndex vm) override;
    bool drained(VmIndex vm) const override;
    void installConfiguration(VmIndex vm, const Configuration& configuration, Instant now) override;
    void installMembers(VmIndex vm, const MemberView& view, Instant now) override;
    void applyReports(VmIndex vm, std::span<const BackendReport> reports) override;
    FleetOutcome route(VmIndex vm, const PacketSummary& packet, Instant now) override;
    void tick(VmIndex vm, Instant now) override;
    std::uint64_t controlBytes() const override { return m_controlBytes; }
    std::uint64_t relayedPackets() const override { return 0; }
    std::size_t heldFlows() const override;

private:
    struct Vm {
        Endpoint m_address;
        std::string m_zone;
        std::unique_ptr<TokenRouter> m_router; ///< nullptr while the VM is stopped
        std::unique_ptr<ExchangePeers> m_peers;
        PauseDetector m_pauseDetector;
        std::optional<LoadMessageSchedule> m_loadMessageSchedule;
        Instant m_lastRunAt {};
        bool m_isLeaving = false;
    };

    static void detectPause(Vm& vm, Instant now);
    static void receive(Vm& vm, Endpoint sender, const LoadMessage& message, Instant now);

    FleetNetwork& m_network;
    std::unique_ptr<FlowPlacement> m_placement;
    NullRouterObserver m_observer;
    std::vector<Vm> m_vms;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> m_tokens; ///< by flow hash
    std::uint64_t m_controlBytes = 0;
};

/// Returns the declarations of a configuration. Skips UDP services: each has a TCP service at its address.
ServiceDeclarations declarationsOf(const Configuration& configuration);

/// Returns the store entries of a configuration's backend servers, with the tunnel endpoint as the identity.
std::vector<AnnouncedBackend> announcedBackends(const Configuration& configuration);

} // namespace cuminrelay
