#pragma once

#include "base/Time.h"
#include "discovery/WatchSchedule.h"
#include "exchange/LoadMessage.h"
#include "warmup/WarmupBudget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace cuminrelay {

/// Tracks the entry VMs that exchange load messages with this VM. Selects each message's receivers, the zone's reader
/// of the store, and the VM to request store updates from. VMs of the local zone share backend servers and get messages
/// often; one VM of another zone gets each message, round robin. Peers are found through the seeds and by gossip, and
/// those that have left or timed out are contacted for a while: they may run again, or be back after a partition.
///
/// A peer that is leaving still forwards packets, until the fabric stops sending it any. It gets all messages, like the
/// others, until it is silent; only its own state is no longer asked for.
class ExchangePeers {
public:
    ExchangePeers(Endpoint self, ZoneHash zone, std::span<const Endpoint> seeds);

    /// Replaces the seeds, after a change of the settings.
    void setSeeds(std::span<const Endpoint> seeds) { m_seeds.assign(seeds.begin(), seeds.end()); }

    /// Updates the sender and the peers that its message lists.
    void recordMessage(Endpoint peer, const LoadMessage& message, Instant now);

    /// Removes and returns the VMs that sent a message before any peer listed them, or whose process has started again.
    /// Send each the peers of its zone at once: its next regular message may come late.
    std::vector<ExchangePeer> takeNewPeers();

    /// Removes and returns the VMs of the local zone that this VM has learned of, or whose process has started again,
    /// since the last call. Send each a message at once, with contested flows: it may not know this VM.
    std::vector<Endpoint> takeUngreeted() { return std::exchange(m_ungreeted, {}); }

    /// Whether another VM, of any zone, has sent a message lately. Without contact, this VM is not told of anything.
    bool hasContact(Instant now) const;

    /// The VMs of a zone that have sent a message.
    std::vector<ExchangePeer> peersOf(ZoneHash zone) const;

    /// Receivers of the next message: at most c_localZoneFanout of the local zone and one of another; once a second
    /// also the seeds and former peers that are not peers.
    std::vector<Endpoint> nextTargets(Instant now);

    /// All peers of the local zone, also those that are leaving. The reader notifies them at once of a store update.
    std::vector<Endpoint> localZonePeers() const;

    /// Peers of the local zone, and all, without those that are leaving.
    std::size_t localZonePeerCount() const;
    std::size_t size() const;

    /// Replaces members by the VMs of the local zone and when each was last heard of: its last message, or the first
    /// one of a peer that listed it. Allocates only if members grows.
    void collectLocalZoneMembers(std::vector<ZoneMember>& members) const;

    /// Time without a message before a VM of the local zone times out; longer in a large zone, where each VM gets fewer
    /// messages.
    Duration peerTimeout() const;

    /// When to send an unchanged load again, so that no VM of the local zone times this VM out.
    Deadline repeatAt(Instant now) const;

    /// Whether this VM should follow the store, with a state of these versions that is confirmed as of confirmedAt
    /// (epoch: never). The zone's reader is its highest-ranked VM in contact with the store; the others receive store
    /// updates from it. A started VM first waits for a reader's message. When the reader times out, the next in rank
    /// takes over at once. When the reader loses contact, the others also try, one by one: not all VMs then call a
    /// store that is down, and others reach a store that refuses a few VMs.
    ///
    /// A reader that says that it follows the store may be wrong, or not reachable. A VM therefore also reads when its
    /// own state is not confirmed in time, again one by one, and when it cannot get an update that it knows of.
    bool shouldRead(const StoreVersions& own, Instant confirmedAt, Instant now);

    /// The latest time as of which this VM's state, of these versions, is known from other VMs to have been the
    /// store's: one of them said so of a state of the same era that this VM has all of. Epoch: never. Call whenever the
    /// versions change.
    Instant stateConfirmedAt(const StoreVersions& own);

    /// Whether any VM ever announced newer declarations than these. They exist even if that VM has left since.
    bool hasNewerDeclarations(ConfigVersion own) const { return m_newestVersions.m_declarations > own; }

    /// Another VM with a newer state of the store, or nullopt. A VM of another zone counts only after a delay, as
    /// the local zone's reader is about to receive the same state, but at once if this VM has no state.
    std::optional<Endpoint> peerWithNewerState(const StoreVersions& own, Instant now);

    /// Another VM with a state that is not older, or nullopt. Repeated calls return each in time.
    std::optional<Endpoint> peerWithState(const StoreVersions& own, Instant now);

    /// Another VM that knows the contested flows of a longer time than this one, which knows those opened since
    /// knownSince; nullopt if there is none or this VM knows all that can still be open. Repeated calls return each in
    /// time.
    std::optional<Endpoint> peerWithEarlierContestedFlows(Instant knownSince, Instant now);

    /// Live peers to list in a message, round robin. Empty except shortly after the first message of a VM and about
    /// once a second.
    std::vector<ExchangePeer> peersToGossip(Instant now);

private:
    struct PeerState {
        ZoneHash m_zone;
        Instant m_lastSeenAt {}; ///< last message of the VM itself; epoch: none
        Instant m_heardOfAt {}; ///< m_lastSeenAt, or when a peer first listed the VM
        Deadline m_expiresAt {};
        bool m_isReading = false;
        bool m_isLeaving = false;
        Instant m_introducedAt {}; ///< when takeNewPeers last listed it; epoch: never
        StoreVersions m_versions {};
        Instant m_confirmedAt {}; ///< as of which m_versions were the store's; epoch: unknown
        Instant m_contestedKnownSince {}; ///< valid if m_lastSeenAt is set
        std::chrono::milliseconds m_contestedKnownFor {}; ///< as of m_lastSeenAt
    };

    struct FormerPeer {
        ZoneHash m_zone;
        Instant m_lastSeenAt {};
    };

    void addGossiped(const ExchangePeer& peer, Instant now);
    void removeExpired(Instant now);
    void appendFormer(std::vector<Endpoint>& targets, Instant now);

    /// A VM that was heard of lately and meets a condition, preferably of the local zone; another one for each call.
    template <typename Condition> std::optional<Endpoint> nextLivePeer(Instant now, const Condition& condition);

    /// Whether a reader of the local zone sent a message within the peer time-out.
    bool hasLiveReader(Instant now) const;

    /// Records since when a VM has announced a newer state than these versions.
    void updateBehindSince(const StoreVersions& own, Instant now);

    /// Messages that this VM sends until each VM of the local zone got one.
    std::int64_t messagesPerRound() const;
    void appendRoundRobin(std::vector<Endpoint>& targets, bool inLocalZone, std::size_t count);

    Endpoint m_self;
    ZoneHash m_zone;
    std::vector<Endpoint> m_seeds;
    std::map<Endpoint, PeerState> m_peers;
    std::map<Endpoint, FormerPeer> m_formerPeers; ///< up to c_maxFormerPeers
    std::vector<ExchangePeer> m_newPeers;
    std::vector<Endpoint> m_ungreeted;
    Deadline m_nextSeedsAt {};
    Deadline m_nextGossipAt {};
    Deadline m_gossipUntil {}; ///< each message lists peers until then
    Deadline m_startupListenUntil {}; ///< set by the first shouldRead; this VM does not follow the store before
    Instant m_lastReaderAt {}; ///< when the zone last had a reader; epoch: unset
    Instant m_stateConfirmedAt {};
    std::uint32_t m_confirmedEra = 0; ///< of m_stateConfirmedAt
    StoreVersions m_newestVersions; ///< of all messages
    Instant m_newestVersionsAt {}; ///< when m_newestVersions last changed
    Instant m_behindSince {}; ///< since when a newer state than this VM's is known to exist; epoch: none is
    Deadline m_readUntil {}; ///< end of reading because this VM's state was not confirmed in time
    std::uint64_t m_requestCount = 0; ///< VMs returned to request something from
    Endpoint m_lastInLocalZone;
    Endpoint m_lastInOtherZone;
    Endpoint m_lastGossiped;
    Endpoint m_lastFormer;
};

} // namespace cuminrelay
