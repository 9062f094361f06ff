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

/// Position of an entry VM in the bench's fleet. A VM that was replaced keeps its index and gets a new incarnation.
using VmIndex = std::size_t;

/// The network between entry VMs and to backend servers, as the experiment's faults shape it.
class FleetNetwork {
public:
    FleetNetwork() = default;
    FleetNetwork(const FleetNetwork&) = delete;
    FleetNetwork& operator=(const FleetNetwork&) = delete;
    virtual ~FleetNetwork() = default;

    /// Whether a packet from one entry VM to another arrives now.
    virtual bool reaches(VmIndex from, VmIndex to) = 0;

    /// Whether an entry VM runs now: neither dead nor paused.
    virtual bool isRunning(VmIndex vm) const = 0;

    virtual VmIndex vmAt(Endpoint peers) const = 0;
};

/// What became of a caller's packet in the fleet.
struct FleetOutcome {
    PacketActionKind m_kind = PacketActionKind::Drop; ///< ToBackend, Drop, Refuse or ResetCaller
    Reason m_reason = Reason::None;
    Endpoint m_backend;
    VmIndex m_lastVm = 0; ///< the entry VM that sent it out
    unsigned m_hops = 0;
};

/// One way of keeping flows on their backend servers, for a whole fleet of entry VMs. The bench plays the same arrivals
/// and faults against each.
class FleetDesign {
public:
    FleetDesign() = default;
    FleetDesign(const FleetDesign&) = delete;
    FleetDesign& operator=(const FleetDesign&) = delete;
    virtual ~FleetDesign() = default;

    virtual std::string_view name() const = 0;

    /// A process on the VM starts with nothing.
    virtual void start(VmIndex vm, Instant now) = 0;

    /// The process on the VM is gone, and what it held with it.
    virtual void stop(VmIndex vm) = 0;

    virtual void beginLeaving(VmIndex vm) = 0;

    /// Whether a leaving VM may stop without loss.
    virtual bool drained(VmIndex vm) const = 0;

    virtual void installConfiguration(VmIndex vm, const Configuration& configuration, Instant now) = 0;
    virtual void installMembers(VmIndex vm, const MemberView& view, Instant now) = 0;
    virtual void applyReports(VmIndex vm, std::span<const BackendReport> reports) = 0;

    /// A packet that the fabric hands to a running VM.
    virtual FleetOutcome route(VmIndex vm, const PacketSummary& packet, Instant now) = 0;

    /// What runs every 50 ms on each running VM.
    virtual void tick(VmIndex vm, Instant now) = 0;

    /// Bytes of control traffic that all VMs have sent.
    virtual std::uint64_t controlBytes() const = 0;

    /// Packets that took a hop between VMs beyond the one to the owner, so that a choice is held twice.
    virtual std::uint64_t relayedPackets() const = 0;

    /// Flow states held by all VMs.
    virtual std::size_t heldFlows() const = 0;
};

} // namespace cuminrelay
