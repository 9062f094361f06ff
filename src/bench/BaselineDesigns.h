#pragma once

#include "bench/FleetDesign.h"
#include "flows/ServiceTables.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <vector>

namespace cuminrelay {

/// Base of the baseline designs: each VM decides from its own configuration and flow table, without control traffic.
class LocalDesign : public FleetDesign {
public:
    explicit LocalDesign(std::size_t vmCount);

    void start(VmIndex vm, Instant now) override;
    void stop(VmIndex vm) override;
    void beginLeaving(VmIndex vm) override;
    bool drained(VmIndex vm) const override;
    void installConfiguration(VmIndex vm, const Configuration& configuration, Instant now) override;
    void installMembers(VmIndex vm, const MemberView& view, Instant now) override;
    void applyReports(VmIndex vm, std::span<const BackendReport> reports) override;
    FleetOutcome route(VmIndex vm, const PacketSummary& packet, Instant now) override;
    void tick(VmIndex vm, Instant now) override;
    std::uint64_t controlBytes() const override { return 0; }
    std::uint64_t relayedPackets() const override { return 0; }
    std::size_t heldFlows() const override;

protected:
    /// Returns the backend server for a packet at a VM, or an empty Endpoint if there is none.
    virtual Endpoint choose(VmIndex vm, const PacketSummary& packet, FlowHash hash) = 0;

    using LocalFlows = boost::unordered_flat_map<std::uint64_t, Endpoint>;

    const ServiceTables* tables(VmIndex vm) const { return m_vms[vm].m_tables.get(); }
    LocalFlows& flows(VmIndex vm) { return m_vms[vm].m_flows; }

private:
    struct Vm {
        std::shared_ptr<const ServiceTables> m_tables;
        LocalFlows m_flows;
    };

    std::vector<Vm> m_vms;
    std::shared_ptr<const ServiceTables> m_newestTables;
};

/// Picks the backend server by the flow's hash modulo the number of servers. Stateless.
class ModuloDesign final : public LocalDesign {
public:
    using LocalDesign::LocalDesign;
    std::string_view name() const override { return "modulo"; }

protected:
    Endpoint choose(VmIndex vm, const PacketSummary& packet, FlowHash hash) override;
};

/// Uses consistent hashing and, on each VM, a connection table of the flows seen there, as Maglev does.
class ConnectionTableDesign final : public LocalDesign {
public:
    using LocalDesign::LocalDesign;
    std::string_view name() const override { return "connection-table"; }

protected:
    Endpoint choose(VmIndex vm, const PacketSummary& packet, FlowHash hash) override;
};

/// Uses consistent hashing and, on each VM, a table of the flows that would move if the backend servers on the horizon
/// were added, as JET does.
class HorizonDesign final : public LocalDesign {
public:
    /// horizon: the configuration with all backend servers that may be added later.
    HorizonDesign(std::size_t vmCount, const Configuration& horizon);
    std::string_view name() const override { return "horizon-tracking"; }

protected:
    Endpoint choose(VmIndex vm, const PacketSummary& packet, FlowHash hash) override;

private:
    ServiceTables m_horizon;
};

/// Places new flows by hash only. The caller's packets carry a token of the backend server, as in Cheetah.
class TokenByHashDesign final : public LocalDesign {
public:
    using LocalDesign::LocalDesign;
    std::string_view name() const override { return "carried-by-hash"; }

protected:
    Endpoint choose(VmIndex vm, const PacketSummary& packet, FlowHash hash) override;

private:
    LocalFlows m_tokenBackends; ///< backend server in the packets' token, by flow hash
};

} // namespace cuminrelay
