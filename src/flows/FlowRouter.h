#pragma once

#include "admission/AdmissionPolicy.h"
#include "backends/BackendStatusTable.h"
#include "base/Time.h"
#include "flows/BucketStates.h"
#include "flows/FlowRecord.h"
#include "flows/FlowTable.h"
#include "flows/OwnerMap.h"
#include "flows/ReplicaOutbox.h"
#include "flows/ServiceTables.h"
#include "flows/TableHistory.h"
#include "packets/PacketRouter.h"
#include "placement/PlacementPolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace cuminrelay {

/// Routes the packets that reach one entry VM. Independent of sockets, codecs and clocks. Not thread-safe.
///
/// The bucket of a flow determines its owner (OwnerMap); every other VM forwards the packet to the owner. The owner
/// holds a state for each of its flows. Any later owner can recompute the backend server of a flow that is on its
/// default under its bucket's base version. Every other flow is an override, which is replicated to the successor
/// before the backend server receives its first packet: the packet itself is sent through the successor, which records
/// the choice. The failure of an owner therefore loses no flow, and replicating a new flow needs no control traffic.
class FlowRouter final : public PacketRouter {
public:
    struct Limits {
        /// Flow states, as owner and as replica together.
        std::size_t m_flows = 1'000'000;
    };

    /// placement and admission must outlive the router.
    FlowRouter(Endpoint self, PlacementPolicy& placement, AdmissionPolicy& admission, Limits limits);

    /// Routes a batch: actions[i] is for packets[i]. Allocates no memory for established flows.
    void decide(std::span<const PacketSummary> packets, std::span<PacketAction> actions, Instant now) override;

    /// Installs a configuration. Returns false, and ignores it, unless its version is higher than the current one.
    bool installConfiguration(const Configuration& configuration, Instant now);

    /// As installConfiguration, with tables that were built outside the packet path.
    bool installTables(
        std::shared_ptr<const ServiceTables> tables, std::span<const BackendServer> backendServers, Instant now);

    /// The tables in force, for building the next ones; nullptr before the first.
    std::shared_ptr<const ServiceTables> tables() const { return m_history.current(); }

    /// Installs a view of the members and moves buckets accordingly.
    void installMembers(const MemberView& view, Instant now);

    void applyReports(std::span<const BackendReport> reports);

    /// The next batch for a peer, with at most maximumRecords records; empty when nothing is pending. Unconfirmed
    /// content is included again in the next call.
    ReplicaBatch nextBatch(Endpoint peer, std::size_t maximumRecords, Instant now);

    /// Call when the peer has accepted the batch.
    void confirmBatch(Endpoint peer, const ReplicaBatch& batch, Instant now);

    /// Applies a batch of a peer. Returns false, and applies nothing, when it has a version newer than this VM's
    /// configuration.
    bool acceptBatch(Endpoint peer, const ReplicaBatch& batch, Instant now);

    /// Call at least every 100 ms. Expires idle flows, advances base versions, and detects pauses of the process, after
    /// which the owned buckets sync from their successors.
    void tick(Instant now);

    /// Call before the members are notified (MemberState::Leaving): drained() tracks the buckets lost from then on.
    void beginLeaving() { m_leaving = true; }

    /// Whether the view in force lets this VM own flows.
    bool isOwner() const { return m_owners.indexOf(m_self) != c_noMember; }

    /// Whether all buckets that this VM owned have been handed over; false before beginLeaving.
    bool drained() const;

    ConfigVersion configVersion() const { return m_history.currentVersion(); }
    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t overrideCount() const { return m_overrides; }
    std::size_t ownedBucketCount() const;
    const BackendStatusTable& backendStatuses() const { return m_backendStatuses; }

private:
    struct Context {
        const PacketSummary& m_packet;
        FlowHash m_hash;
        Bucket m_bucket;
        Instant m_now;
        /// The flow's state in m_flows as of m_generation, or nullptr.
        FlowState* m_found;
        std::uint64_t m_generation;
    };

    void decideChunk(std::span<const PacketSummary> packets, std::span<PacketAction> actions, Instant now);
    PacketAction decideOne(const Context& context);
    FlowState* lookUp(const Context& context);
    PacketAction decideAsOwner(const Context& context, Endpoint replica, bool mayForwardToPrevious);
    PacketAction decideTracked(const Context& context, FlowState& state, Endpoint replica);
    PacketAction decideMidstream(const Context& context, Endpoint replica);
    PacketAction openFlow(const Context& context, Endpoint replica, bool replacesReplica);
    PacketAction acceptRecord(const Context& context);
    PacketAction forward(const Context& context, FlowState& state, Endpoint replica);
    PacketAction forwardUntracked(const Context& context) const;

    FlowState& track(const Context& context, Endpoint backend, FlowStage stage, bool isNew);
    void recordProgress(const Context& context, FlowState& state);
    void updateStallTimer(const Context& context, FlowState& state, bool progress) const;
    bool isStalled(const Context& context, const FlowState& state) const;
    bool mustReopen(const Context& context, const FlowState& state) const;
    bool mayBeOpenInPartitionedZone(const Context& context);
    bool isUsable(Endpoint backend) const;
    bool isOnLeavingBackend(const FlowState& state) const;
    bool mayContinueAt(Endpoint backend, Bucket bucket, Instant now) const;
    void recordLeavingBackends(const ServiceTables* before, std::span<const BackendServer> backendServers, Instant now);
    bool isBackendPartitioned(Endpoint backend) const;
    void setOverride(FlowState& state, bool isOverride);
    void releaseFlow(FlowHash hash, FlowState& state, Instant now);
    void endFlow(FlowHash hash, FlowState& state, Instant now);
    void expireShard(std::size_t index, Instant now);
    void detectPause(Instant now);

    void acquireBucket(Bucket bucket, Endpoint previousOwner, Instant now);
    void releaseBucket(Bucket bucket, Instant now);
    void startSync(Bucket bucket, Endpoint previousOwner);
    void finishSync(Bucket bucket);
    void replaceSyncSource(Bucket bucket, Instant now);
    void updatePartition(std::span<const Endpoint> partitionedMembers, Instant now);
    void updateInterimOwnership(std::span<const Endpoint> partitionedMembers);
    void syncAfterPartition(Instant now);
    void syncFromThirdInRank();
    void discardReplica(Endpoint peer);
    void requestSynchronization(Bucket bucket);
    void synchronizeShard(std::size_t index);
    bool synchronizeBucket(Bucket bucket);
    void advanceBases(Instant now);
    void acceptFlowRecord(Endpoint peer, const FlowRecord& record, Instant now);
    void acceptHandoverRequest(Endpoint peer, std::span<const Bucket> requested, Instant now);

    ConfigVersion storedOrUnknown(ConfigVersion version) const;
    bool isReplicated(const FlowState& state, Endpoint replica) const;
    Endpoint decider(Bucket bucket, Instant now) const;
    Endpoint owner(Bucket bucket) const;
    Endpoint successor(Bucket bucket) const;
    bool owns(Bucket bucket) const { return owner(bucket) == m_self; }
    bool isReachable(Endpoint peers) const;
    void updateOwnerCount();

    /// Packets of an override that are sent through its replica; more than one, as packets may be lost.
    static constexpr std::uint8_t s_relaysPerReplica = 2;

    Endpoint m_self;
    PlacementPolicy& m_placement;
    AdmissionPolicy& m_admission;
    Limits m_limits;
    BackendStatusTable m_backendStatuses;
    FlowTable m_flows;
    OwnerMap m_owners;
    std::vector<Member> m_members;
    TableHistory m_history;
    BucketStates m_buckets;
    std::map<Endpoint, ReplicaOutbox> m_outboxes;
    /// Inverse of the share of all buckets that this VM owns, rounded.
    std::size_t m_ownerCount = 1;
    std::size_t m_overrides = 0;
    std::size_t m_expireShard = 0;
    std::size_t m_synchronizationShard = 0;
    std::size_t m_shardsToSynchronize = 0;
    /// Time of the last batch or tick; epoch before the first.
    Instant m_lastRunAt {};
    /// Until then received packets are dropped: a pause of this process may have queued them.
    Deadline m_staleUntil {};
    /// Start of the current network partition; epoch when no zone is partitioned.
    Instant m_partitionSince {};
    /// When the state of an ended partition is cleared; epoch unless one has ended.
    Deadline m_partitionOverAt {};
    /// Sorted members of the zones that are or were partitioned.
    std::vector<Endpoint> m_partitionedMembers;
    /// Interim owners of the other side: the owner map of the m_partitionedMembers that are reachable again.
    OwnerMap m_interimOwners;
    /// When flows with a partitioned owner may be opened here, by flow hash.
    boost::unordered_flat_map<std::uint64_t, Deadline> m_delayedOpenings;
    bool m_leaving = false;

    /// Backend servers that recently stopped accepting new flows of one service or all. Until the deadline they still
    /// get datagrams that may belong to established flows.
    std::map<Endpoint, Deadline> m_leavingBackends;
};

} // namespace cuminrelay
