#pragma once

#include "backends/BackendStatusTable.h"
#include "base/Time.h"
#include "configuration/Model.h"
#include "members/Member.h"
#include "packets/Packet.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cuminrelay {

/// Index of an entry VM in the simulated fleet. A replacement VM has the same index and a new incarnation.
using VmIndex = std::size_t;

/// Simulated network between entry VMs, with the faults of the experiment.
class FleetNetwork {
public:
    FleetNetwork() = default;
    FleetNetwork(const FleetNetwork&) = delete;
    FleetNetwork& operator=(const FleetNetwork&) = delete;
    virtual ~FleetNetwork() = default;

    /// Whether a packet sent now from one entry VM to another arrives.
    virtual bool reaches(VmIndex from, VmIndex to) = 0;

    /// Whether an entry VM is neither stopped nor paused.
    virtual bool isRunning(VmIndex vm) const = 0;

    virtual VmIndex vmAt(Endpoint peerEndpoint) const = 0;
};

/// Result of routing a caller's packet through the fleet.
struct FleetOutcome {
    PacketActionKind m_kind = PacketActionKind::Drop; ///< ToBackend, Drop, Refuse or ResetCaller
    Reason m_reason = Reason::None;
    Endpoint m_backend;
    VmIndex m_lastVm = 0; ///< the last entry VM on the path
    unsigned m_hops = 0;
};

/// Method of keeping flows on their backend servers, implemented for a fleet of entry VMs. The bench runs the same
/// arrivals and faults against each design.
class FleetDesign {
public:
    FleetDesign() = default;
    FleetDesign(const FleetDesign&) = delete;
    FleetDesign& operator=(const FleetDesign&) = delete;
    virtual ~FleetDesign() = default;

    virtual std::string_view name() const = 0;

    /// Starts the process on the VM, without state.
    virtual void start(VmIndex vm, Instant now) = 0;

    /// Stops the process on the VM and discards its state.
    virtual void stop(VmIndex vm) = 0;

    virtual void beginLeaving(VmIndex vm) = 0;

    /// Whether a leaving VM can stop without breaking flows.
    virtual bool drained(VmIndex vm) const = 0;

    virtual void installConfiguration(VmIndex vm, const Configuration& configuration, Instant now) = 0;
    virtual void installMembers(VmIndex vm, const MemberView& view, Instant now) = 0;
    virtual void applyReports(VmIndex vm, std::span<const BackendReport> reports) = 0;

    /// Routes a packet that the fabric delivered to a running VM.
    virtual FleetOutcome route(VmIndex vm, const PacketSummary& packet, Instant now) = 0;

    /// Runs the periodic tasks of a running VM; every 50 ms in FlowExperiment.
    virtual void tick(VmIndex vm, Instant now) = 0;

    /// Bytes of control traffic sent by all VMs.
    virtual std::uint64_t controlBytes() const = 0;

    /// Number of packets forwarded through a replica, which records the backend server first.
    virtual std::uint64_t relayedPackets() const = 0;

    /// Number of flow states on all VMs.
    virtual std::size_t heldFlows() const = 0;
};

} // namespace cuminrelay
