#pragma once

#include "bench/FleetDesign.h"
#include "flows/FlowRouter.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminrelay {

/// Creates the policies of one VM.
struct PolicyFactory {
    std::function<std::unique_ptr<PlacementPolicy>()> m_placement;
    std::function<std::unique_ptr<AdmissionPolicy>()> m_admission;
};

/// The product's design with flow owners: runs each VM's real FlowRouter and delivers packets and batches by call.
class OwnerDesign final : public FleetDesign {
public:
    /// Whether overrides are replicated to the successor. None shows the effect of missing replicas.
    enum class Replication : std::uint8_t {
        None,
        Successor,
    };

    /// addresses: the peer endpoint of each VM. network must outlive the design.
    OwnerDesign(std::string name, std::span<const Endpoint> addresses, FleetNetwork& network, PolicyFactory policies,
        Replication replication = Replication::Successor);

    std::string_view name() const override { return m_name; }
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
    std::uint64_t relayedPackets() const override { return m_relayedPackets; }
    std::size_t heldFlows() const override;

    const FlowRouter& router(VmIndex vm) const { return *m_vms[vm].m_router; }

private:
    struct Vm {
        Endpoint m_address;
        std::unique_ptr<PlacementPolicy> m_placement;
        std::unique_ptr<AdmissionPolicy> m_admission;
        std::unique_ptr<FlowRouter> m_router;
        MemberView m_view;
    };

    void sendBatch(VmIndex from, VmIndex to, Instant now);

    std::string m_name;
    FleetNetwork& m_network;
    PolicyFactory m_policies;
    Replication m_replication;
    std::vector<Vm> m_vms;
    std::shared_ptr<const ServiceTables> m_newestTables; ///< built once per version and shared by VMs
    std::uint64_t m_controlBytes = 0;
    std::uint64_t m_relayedPackets = 0;
};

} // namespace cuminrelay
