#pragma once

#include "admission/AdmissionPolicy.h"
#include "backends/BackendBoard.h"
#include "base/Time.h"
#include "flows/FlowRecord.h"
#include "flows/OwnerMap.h"
#include "flows/Packet.h"
#include "flows/ServiceTables.h"
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
class FlowRouter {
public:
    struct Limits {
        std::size_t m_flows = 1'000'000; ///< states held, own and replica together
    };

    FlowRouter(Endpoint self, PlacementPolicy& placement, AdmissionPolicy& admission, Limits limits);

    /// Decides on a batch: verdicts[i] answers packets[i]. Established packets allocate nothing.
    void decide(std::span<const PacketSummary> packets, std::span<Verdict> verdicts, Instant now);

    /// Takes a configuration; an older one than the held is ignored. Returns whether it was taken.
    bool installConfiguration(const Configuration& configuration, Instant now);

    /// Takes a view of the members and moves buckets accordingly.
    void installMembers(const MemberView& view, Instant now);

    /// Takes reports on backend servers.
    void applyReports(std::span<const BackendReport> reports);

    /// The next things that a peer should be told, at most maximumRecords of records; empty when there is nothing.
    /// Repeated calls return the same until confirmBatch is called.
    ReplicaBatch nextBatch(Endpoint peer, std::size_t maximumRecords, Instant now);

    /// The peer has taken the batch.
    void confirmBatch(Endpoint peer, const ReplicaBatch& batch, Instant now);

    /// Takes what a peer tells. Returns false, and takes nothing, when a version that it names is not held.
    bool acceptBatch(Endpoint peer, const ReplicaBatch& batch, Instant now);

    /// Call at least every 100 ms: ends idle flows and notices that the process was paused, after which nothing that
    /// is held is trusted until the successors have confirmed it.
    void tick(Instant now);

    /// Stops taking new flows: they go to the successors. The members must also be told (MemberState::Leaving).
    void beginLeaving() { m_leaving = true; }

    /// Whether everything that this VM held has been handed over.
    bool drained() const;

    ConfigVersion configVersion() const;
    std::size_t flowCount() const;
    std::size_t exceptionCount() const;
    const BackendBoard& board() const { return m_board; }

private:
    // completed by flows/FlowRouter.cpp's author
    bool m_leaving = false;
    BackendBoard m_board;
};

} // namespace cuminrelay
