#pragma once

#include "base/Time.h"
#include "configuration/Model.h"
#include "members/Member.h"
#include "members/PeerSampler.h"

#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// Last reported statistics of a member's entry process.
struct MemberStatistics {
    ConfigVersion m_configVersion; ///< in force; zero if none was received
    std::uint64_t m_flows = 0;
    std::uint64_t m_overrides = 0; ///< flows not on their default backend server

    friend bool operator==(const MemberStatistics&, const MemberStatistics&) = default;
};

/// The sender's state in a heartbeat.
struct MemberHeartbeat {
    Member m_sender;
    std::uint64_t m_sequence = 0; ///< increases with each heartbeat, also across restarts of the control process
    MemberStatistics m_statistics;

    friend bool operator==(const MemberHeartbeat&, const MemberHeartbeat&) = default;
};

/// Maintains this VM's view of the entry VMs, from the platform's VM list, which lags, and from heartbeats, which may
/// be lost, duplicated and reordered. A large zone uses gossip with suspicion, as in SWIM. Independent of sockets,
/// encoding and clocks; not thread-safe. Safety does not depend on correct views: the flows slice fences actions that
/// are based on outdated ones.
///
/// Cost: O(members) for each change of the view; one look-up for a heartbeat without changes.
class Membership {
public:
    /// A member without heartbeats for this time is Unreachable, or suspected in a large zone.
    static constexpr Duration s_heartbeatTimeout = std::chrono::milliseconds { 1500 };

    /// A suspected member is Unreachable unless a newer heartbeat is received or reported in this time.
    static constexpr Duration s_suspicionTimeout = std::chrono::milliseconds { 750 };

    /// A zone without direct contact to any member of the local zone for this time is partitioned.
    static constexpr Duration s_zoneTimeout = std::chrono::seconds { 4 };

    /// Heartbeats go to all other members of the local zone up to this number, and to a sample beyond.
    static constexpr std::size_t s_zoneFullMeshLimit = 8;

    /// Interval at which a member's statistics are gossiped again, per other member of the zone.
    static constexpr Duration s_refreshIntervalPerMember = std::chrono::seconds { 1 };

    /// Time between two ticks above which this process is assumed to have been paused.
    static constexpr Duration s_pauseThreshold = std::chrono::seconds { 1 };

    /// Time until a member that is neither listed nor alive is removed from the view.
    static constexpr Duration s_removalTimeout = std::chrono::seconds { 30 };

    /// Maximum time after start to wait for the first heartbeats of listed members.
    static constexpr Duration s_convergenceTimeout = std::chrono::seconds { 3 };

    /// self: this VM. fullMeshLimit: maximum number of other members in a full mesh.
    Membership(Member self, std::size_t fullMeshLimit, Instant now);

    /// Applies the state of this VM's entry process.
    void updateSelf(std::uint64_t incarnation, MemberState state, const MemberStatistics& statistics);

    /// Applies the platform's VM list. It lags: it may contain failed members and omit new ones. An unlisted member
    /// stays while its heartbeats arrive.
    void applyList(std::span<const Member> listed, Instant now);

    /// Applies a heartbeat received directly from its sender. One older than the stored one is ignored while the sender
    /// is alive, so that reordering and duplication have no effect.
    void applyMemberHeartbeat(const MemberHeartbeat& heartbeat, Instant now);

    /// Applies members as reported by another one. In a full mesh or a small local zone, only their existence counts.
    /// In a large fleet, newer reports about other zones are applied. In a large local zone, newer reports of reachable
    /// members are applied, and a report of an unreachable one raises a suspicion.
    void applySummary(std::span<const MemberHeartbeat> members, Instant now);

    /// Applies the time of the last direct heartbeat from a zone, as received by this or another member.
    void applyZoneContact(std::string_view zone, Instant lastContactAt);

    /// Call when a connection closes because its client selected another member: missing heartbeats are no failure
    /// until the next direct one.
    void stopMonitoring(Endpoint peers, Instant now);

    /// Applies time-outs. Call at least every 500 ms. After a pause of this process, deadlines are extended first, so
    /// that members can send a heartbeat.
    void tick(Instant now);

    const MemberView& view() const { return m_view; }

    const Member& self() const { return m_self; }

    /// Whether the view may be acted on: the list was received and all members are alive, or the list or a message was
    /// received and s_convergenceTimeout has passed since the start. Stays true.
    bool isConverged(Instant now);

    /// Whether the address belongs to a member of the current or the previous view.
    bool isMember(std::uint32_t address) const;

    /// The readers of a zone: its two highest-ranked members (rendezvous hashing by zone name), reachable ones first.
    std::vector<Member> zoneReaders(std::string_view zone) const;

    bool isReader() const;

    /// Whether this VM ranks first among its zone's readers; the first reader writes the zone's status.
    bool isFirstReader() const;

    /// Whether this VM has to read the platform: it is a reader, or has received no list yet.
    bool mustReadPlatform() const;

    /// Targets of heartbeats: all members in a full mesh; otherwise the local zone, or a random sample of it when it is
    /// large, and from a reader also the readers of the other zones.
    std::vector<Member> heartbeatTargets() const;

    /// Other zones without a reachable member; sorted.
    std::vector<std::string> partitionedZones() const;

    /// Time of the last direct heartbeat from each other zone, received by this VM or reported by another.
    const std::map<std::string, Instant, std::less<>>& zoneContacts() const { return m_zoneContacts; }

    /// Members that changed after the revision, oldest change first, at most limit; advances the revision. localZone:
    /// only the local zone, and only changes of the view; otherwise, suspected members are reported as Unreachable.
    std::vector<MemberHeartbeat> changedSince(std::uint64_t& revision, bool localZone, std::size_t limit) const;

    std::uint64_t revision() const { return m_revision; }

    /// Equal on VMs with the same reachable members in the same states.
    std::uint64_t digest() const { return m_digest; }

    /// The highest configuration version in force at an alive member other than this VM.
    ConfigVersion highestPeerConfigVersion() const;

    /// The lowest configuration version in force among the alive members of the local zone.
    ConfigVersion lowestConfigVersionOfZone() const;

    /// A member's last reported statistics; zeros if none were received.
    MemberStatistics statisticsOf(Endpoint peers) const;

    /// Whether heartbeats go to all members.
    bool isFullMesh() const { return m_records.size() <= m_fullMeshLimit; }

    /// Whether heartbeats go to a sample of the local zone and are gossiped from there.
    bool usesGossip() const { return !isFullMesh() && m_zonePeers.size() > s_zoneFullMeshLimit; }

    /// Increases when the sample changes.
    std::uint64_t selectionRevision() const { return m_sampler.revision(); }

    /// Whether heartbeats go to the member with this control endpoint.
    bool sendsHeartbeatsTo(Endpoint control) const;

private:
    struct MemberRecord {
        Member m_member; ///< m_state: as last received or reported; Unreachable while not alive
        std::uint64_t m_sequence = 0;
        MemberStatistics m_statistics;
        Deadline m_heartbeatDeadline {}; ///< time-out of its heartbeats, while m_isMonitored
        Deadline m_removalDeadline {}; ///< removal from the view, unless listed or alive
        Deadline m_suspicionDeadline {}; ///< end of the suspicion time-out, while m_isSuspected
        Deadline m_refreshAt {}; ///< next gossip of its statistics
        std::uint64_t m_revision = 0; ///< of the last change to gossip
        std::uint64_t m_viewRevision = 0; ///< of the last change of the view
        std::uint64_t m_reportedSequence = 0; ///< highest sequence reported by other members
        bool m_isAlive = false; ///< a heartbeat was received or reported and has not timed out
        bool m_isMonitored = false; ///< sends heartbeats to this VM directly; missing ones are a failure
        bool m_isSuspected = false;
        bool m_isReportedUnreachable = false; ///< its zone reported it Unreachable while direct heartbeats arrived
        bool m_isListed = false; ///< in the platform's list, or reported as reachable by a reader
        bool m_isListedLeaving = false;
    };

    MemberState effectiveState(const MemberRecord& record) const;
    void refreshSelf();
    void rebuildView();
    void recordViewChanges(std::span<const Member> before);
    MemberState stateIgnoringPartitions(const Member& member) const;
    void markUnreachable(MemberRecord& record, Instant now);
    void markChanged(Endpoint peers);
    void markChanged(MemberRecord& record, Endpoint peers);
    bool usesDirectDetection(const MemberRecord& record) const;
    bool tickMember(MemberRecord& record, Instant now);
    void suspect(MemberRecord& record, Instant now);
    void selectPeers(Instant now);
    bool updatePartitionedZones(Instant now);
    void applyExistence(MemberRecord& record, const Member& reported, bool isNew, Instant now);
    void applyReportedState(MemberRecord& record, const MemberHeartbeat& reported, bool isNew, Instant now);
    void applyReportedReachable(MemberRecord& record, const MemberHeartbeat& reported, Instant now);
    void applyReportedUnreachable(MemberRecord& record, const MemberHeartbeat& reported, bool isNew, Instant now);
    Duration refreshInterval() const;
    std::vector<Member> rankedMembers(std::string_view zone) const;

    Member m_self;
    std::size_t m_fullMeshLimit;
    MemberStatistics m_ownStatistics;
    MemberState m_entryState = MemberState::Unreachable; ///< as last reported by this VM's entry process
    bool m_isSelfListedLeaving = false;
    std::map<Endpoint, MemberRecord> m_records;
    MemberView m_view;
    std::vector<Member> m_zonePeers; ///< of m_view: the members of the local zone without this VM
    std::map<std::uint64_t, Endpoint> m_byRevision; ///< last change of each member
    std::uint64_t m_revision = 0;
    std::uint64_t m_selfRevision = 0;
    std::uint64_t m_digest = 0;
    std::map<std::string, Instant, std::less<>> m_zoneContacts;
    std::set<std::string, std::less<>> m_partitionedZones;
    PeerSampler m_sampler;
    boost::unordered_flat_set<std::uint32_t> m_addresses;
    boost::unordered_flat_set<std::uint32_t> m_previousAddresses;
    Instant m_lastTickAt;
    Deadline m_convergenceDeadline;
    bool m_hasReceivedMembers = false; ///< the list, a heartbeat or a summary was received
    bool m_hasReceivedList = false;
    bool m_isConverged = false;
};

} // namespace cuminrelay
