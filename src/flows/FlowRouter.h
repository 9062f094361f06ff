#pragma once

#include "admission/AdmissionPolicy.h"
#include "backends/BackendBoard.h"
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

/// Decides, for one entry VM, what becomes of each packet. Knows nothing of sockets, codecs or clocks; one thread at a
/// time.
///
/// How a flow finds its backend server: its bucket names its owner (OwnerMap). Any other VM hands the packet to the
/// owner. The owner holds a state for each of its flows; a flow that is on the default backend server of its bucket's
/// base configuration can be computed again by whoever owns the bucket later, every other one is an exception and is
/// copied to the successor before the backend server sees its first packet: the packet itself takes the way through
/// the successor, which notes the choice. So the death of an owner loses nothing, at no control traffic.
class FlowRouter final : public PacketRouter {
public:
    struct Limits {
        std::size_t m_flows = 1'000'000; ///< states held, own and replica together
    };

    /// placement and admission must outlive the router.
    FlowRouter(Endpoint self, PlacementPolicy& placement, AdmissionPolicy& admission, Limits limits);

    /// Decides on a batch: verdicts[i] answers packets[i]. Established packets allocate nothing.
    void decide(std::span<const PacketSummary> packets, std::span<Verdict> verdicts, Instant now) override;

    /// Takes a configuration; an older one than the held is ignored. Returns whether it was taken.
    bool installConfiguration(const Configuration& configuration, Instant now);

    /// As installConfiguration, with tables that were built elsewhere, off the packet path.
    bool installTables(
        std::shared_ptr<const ServiceTables> tables, std::span<const BackendServer> backendServers, Instant now);

    /// The tables in force, to build the next ones from; nullptr before the first.
    std::shared_ptr<const ServiceTables> tables() const { return m_history.current(); }

    /// Takes a view of the members and moves buckets accordingly.
    void installMembers(const MemberView& view, Instant now);

    /// Takes reports on backend servers.
    void applyReports(std::span<const BackendReport> reports);

    /// The next things that a peer should be told, at most maximumRecords of records; empty when there is nothing.
    /// What was not confirmed is told again by the next call.
    ReplicaBatch nextBatch(Endpoint peer, std::size_t maximumRecords, Instant now);

    /// The peer has taken the batch.
    void confirmBatch(Endpoint peer, const ReplicaBatch& batch, Instant now);

    /// Takes what a peer tells. Returns false, and takes nothing, when it names a version that this VM has not reached.
    bool acceptBatch(Endpoint peer, const ReplicaBatch& batch, Instant now);

    /// Call at least every 100 ms: ends idle flows, advances bases, and notices that the process was paused, after
    /// which nothing that is held is trusted until the successors have confirmed it.
    void tick(Instant now);

    /// Stops owning flows: they go to the successors. The members must also be told (MemberState::Leaving).
    void beginLeaving() { m_leaving = true; }

    /// Whether the view in force lets this VM own flows.
    bool isOwner() const { return m_owners.indexOf(m_self) != c_noMember; }

    /// Whether everything that this VM owned has been handed over; false before beginLeaving.
    bool drained() const;

    ConfigVersion configVersion() const { return m_history.currentVersion(); }
    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t exceptionCount() const { return m_exceptions; }
    std::size_t ownedBucketCount() const;
    const BackendBoard& board() const { return m_board; }

private:
    struct Context {
        const PacketSummary& m_packet;
        FlowHash m_hash;
        Bucket m_bucket;
        Instant m_now;
        FlowState* m_found; ///< what the table held for the flow at m_generation
        std::uint64_t m_generation;
    };

    void decideChunk(std::span<const PacketSummary> packets, std::span<Verdict> verdicts, Instant now);
    Verdict decideOne(const Context& context);
    FlowState* lookUp(const Context& context);
    Verdict decideAsOwner(const Context& context, Endpoint replica, bool mayAskPrevious);
    Verdict decideKnown(const Context& context, FlowState& state, Endpoint replica);
    Verdict decideMidstream(const Context& context, Endpoint replica);
    Verdict openFlow(const Context& context, Endpoint replica, bool replacesCopy);
    Verdict acceptRecord(const Context& context);
    Verdict forward(const Context& context, FlowState& state, Endpoint replica);
    Verdict forwardUntracked(const Context& context) const;

    FlowState& track(const Context& context, Endpoint backend, FlowStage stage, bool isNew);
    void noteProgress(const Context& context, FlowState& state);
    void noteSilence(const Context& context, FlowState& state, bool progress) const;
    bool isSilent(const Context& context, const FlowState& state) const;
    bool mustReopen(const Context& context, const FlowState& state) const;
    bool mayBeOpenBeyondCut(const Context& context);
    bool isUsable(Endpoint backend) const;
    bool isLeftBehind(const FlowState& state) const;
    bool mayContinueAt(Endpoint backend, Bucket bucket, Instant now) const;
    void noteLeavingBackends(const ServiceTables* before, std::span<const BackendServer> backendServers, Instant now);
    bool isBeyondCut(Endpoint backend) const;
    void setException(FlowState& state, bool exception);
    void forget(FlowHash hash, FlowState& state, Instant now);
    void endFlow(FlowHash hash, FlowState& state, Instant now);
    void expireShard(std::size_t index, Instant now);
    void notePause(Instant now);

    void takeBucket(Bucket bucket, Endpoint previousOwner, Instant now);
    void loseBucket(Bucket bucket, Instant now);
    void warmFrom(Bucket bucket, Endpoint previousOwner);
    void finishWarming(Bucket bucket);
    void replaceSource(Bucket bucket, Instant now);
    void noteCut(std::span<const Endpoint> cutOff, Instant now);
    void noteBeyondCut(std::span<const Endpoint> cutOff);
    void warmAfterCut(Instant now);
    void warmFromThirds();
    void forgetReplica(Endpoint peer);
    void requestSettling(Bucket bucket);
    void settleShard(std::size_t index);
    bool settleBucket(Bucket bucket);
    void advanceBases(Instant now);
    void acceptFlowRecord(Endpoint peer, const FlowRecord& record, Instant now);
    void answerWanted(Endpoint peer, std::span<const Bucket> wanted, Instant now);

    ConfigVersion heldOrUnknown(ConfigVersion version) const;
    bool isReplicated(const FlowState& state, Endpoint replica) const;
    Endpoint decider(Bucket bucket, Instant now) const;
    Endpoint owner(Bucket bucket) const;
    Endpoint successor(Bucket bucket) const;
    bool owns(Bucket bucket) const { return owner(bucket) == m_self; }
    bool isReachable(Endpoint peers) const;
    void noteShare();

    /// How many packets of an exception take the way through its replica, against loss.
    static constexpr std::uint8_t s_relaysPerReplica = 2;

    Endpoint m_self;
    PlacementPolicy& m_placement;
    AdmissionPolicy& m_admission;
    Limits m_limits;
    BackendBoard m_board;
    FlowTable m_flows;
    OwnerMap m_owners;
    std::vector<Member> m_members;
    TableHistory m_history;
    BucketStates m_buckets;
    std::map<Endpoint, ReplicaOutbox> m_outboxes; ///< by peer
    std::size_t m_ownerCount = 1; ///< inverse of the share of all buckets that this VM owns, rounded
    std::size_t m_exceptions = 0;
    std::size_t m_expireShard = 0;
    std::size_t m_settleShard = 0;
    std::size_t m_shardsToSettle = 0;
    Instant m_ranAt {}; ///< when a batch or a tick last ran; epoch before the first
    Deadline m_staleUntil {}; ///< until then packets may have waited while this process did not run
    Instant m_cutSince {}; ///< since when some zone is cut off; epoch when none is
    Deadline m_cutOverAt {}; ///< when a cut that has ended is forgotten; epoch while none has
    std::vector<Endpoint> m_wereCutOff; ///< the members that were beyond the cut; empty when there was none
    OwnerMap m_standIns; ///< who of m_wereCutOff and back again owned what on the other side
    /// From when on openings of flows whose owner is beyond the cut are placed here, by flow; empty when there is no
    /// cut.
    boost::unordered_flat_map<std::uint64_t, Deadline> m_heldOpenings;
    bool m_leaving = false;

    /// Backend servers that have just stopped taking new flows of a service, or all, and how long a datagram that may
    /// be of an established flow still goes there.
    std::map<Endpoint, Deadline> m_leavingBackends;
};

} // namespace cuminrelay
