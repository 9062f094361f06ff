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

/// What a member's entry process last said of itself.
struct MemberFigures {
    ConfigVersion m_configVersion; ///< in force; zero when it was not heard of
    std::uint64_t m_flows = 0;
    std::uint64_t m_exceptions = 0;

    friend bool operator==(const MemberFigures&, const MemberFigures&) = default;
};

/// What one heartbeat says of its sender.
struct MemberBeat {
    Member m_sender;
    std::uint64_t m_sequence = 0; ///< grows with each heartbeat of the sender, also when its control process restarts
    MemberFigures m_figures;

    friend bool operator==(const MemberBeat&, const MemberBeat&) = default;
};

/// Decides which entry VMs this one believes in. Merges the platform's VM list, which lags, heartbeats, which are
/// fresh but may be lost, doubled and reordered, and the passing of time. Knows no socket, codec or clock; one thread
/// at a time. Nothing that is decided here needs to be true for safety: views only steer, and the flows slice fences
/// what acts on an old one.
///
/// Cost: O(members) for each change of the view; a heartbeat that changes nothing is a look-up.
class Membership {
public:
    /// A member that is silent for this long is Unreachable; in a large zone, it is suspected.
    static constexpr Duration s_silence = std::chrono::milliseconds { 1500 };

    /// A suspected member is Unreachable unless somebody tells of a newer heartbeat within this time.
    static constexpr Duration s_confirm = std::chrono::milliseconds { 750 };

    /// A zone that no member of this zone has heard of for this long is cut off.
    static constexpr Duration s_zoneSilence = std::chrono::seconds { 4 };

    /// Up to this many other members of the own zone, heartbeats go to all of them.
    static constexpr std::size_t s_beatZoneUpTo = 8;

    /// How often the figures of a member are told anew, for each member of the zone.
    static constexpr Duration s_refreshPerMember = std::chrono::seconds { 1 };

    /// Time between two ticks that shows that this process itself did not run.
    static constexpr Duration s_ownPause = std::chrono::seconds { 1 };

    /// How long a member that is neither listed nor heard of stays in the view.
    static constexpr Duration s_forget = std::chrono::seconds { 30 };

    /// How long a view waits at start for members that are listed and not heard of yet.
    static constexpr Duration s_settle = std::chrono::seconds { 3 };

    /// self: this VM. beatEverybodyUpTo: up to this many other members, heartbeats go to all of them.
    Membership(Member self, std::size_t beatEverybodyUpTo, Instant now);

    /// Takes what the own entry process says of itself.
    void updateSelf(std::uint64_t incarnation, MemberState state, const MemberFigures& figures);

    /// Takes the platform's VM list. It may lag: it may name dead members and omit new ones. A member that it does not
    /// name stays while it is heard of.
    void applyList(std::span<const Member> listed, Instant now);

    /// Takes a heartbeat that came straight from its sender. Older ones than the held are ignored as long as the sender
    /// is heard of, so that order and repetition don't matter.
    void applyBeat(const MemberBeat& beat, Instant now);

    /// Takes what another member says of members. Where everybody beats to everybody, only their existence is taken.
    /// Of other zones in a large fleet, the state is taken; of a large own zone, what says that a member is reachable
    /// is taken when it is newer than what is held, and what says that it is not is a suspicion.
    void applySummary(std::span<const MemberBeat> members, Instant now);

    /// Takes when somebody last heard of a member of another zone straight.
    void applyZoneHeard(std::string_view zone, Instant heardAt);

    /// The member goes on to beat to others: its silence means nothing until it is heard of straight again.
    void stopWatching(Endpoint peers, Instant now);

    /// Call at least every 500 ms: finds the members that fell silent. After an own pause, everybody is given time to
    /// be heard of again first.
    void tick(Instant now);

    /// The members as this VM sees them, itself included, sorted by m_peers.
    const MemberView& view() const { return m_view; }

    const Member& self() const { return m_self; }

    /// Whether the view may be acted on: the platform's list or a peer has told who there is, and the listed members
    /// were heard of or had their time. Once true, it stays true.
    bool settled(Instant now);

    /// Whether the address belongs to a member of the current or the previous view.
    bool isMember(std::uint32_t address) const;

    /// The two highest-ranked members of a zone (rendezvous by zone name), the live ones first.
    std::vector<Member> zoneReaders(std::string_view zone) const;

    /// Whether this VM is a reader of its zone.
    bool isReader() const;

    /// Whether this VM ranks first among the readers of its zone, and so writes the zone's status.
    bool isFirstReader() const;

    /// Whether this VM has to read the platform itself: it is a reader, or knows nobody who is.
    bool mustReadPlatform() const;

    /// Whom to beat to: everybody in a small fleet; otherwise the own zone, or of a large zone the members drawn at
    /// random, and for a reader the readers of the other zones.
    std::vector<Member> peersToBeat() const;

    /// Other zones of which no member is reachable; sorted.
    std::vector<std::string> cutOffZones() const;

    /// When a member of another zone was last heard of straight, by this VM or by one that told of it.
    const std::map<std::string, Instant, std::less<>>& zonesHeard() const { return m_zonesHeard; }

    /// What is held of the members that changed after the revision, oldest change first and at most limit of them; the
    /// revision is moved on. Suspected members are told of as Unreachable. ownZone: of members of the own zone only.
    std::vector<MemberBeat> changedSince(std::uint64_t& revision, bool ownZone, std::size_t limit) const;

    std::uint64_t revision() const { return m_revision; }

    /// The same on VMs that take the same members for reachable, in the same state.
    std::uint64_t digest() const { return m_digest; }

    /// The highest configuration version in force at a member that is heard of, this VM left out.
    ConfigVersion highestConfigVersionHeard() const;

    /// The lowest configuration version in force among the reachable members of the own zone.
    ConfigVersion lowestConfigVersionOfZone() const;

    /// What a member last said of itself; zeros when it was not heard of.
    MemberFigures figuresOf(Endpoint peers) const;

    /// Whether heartbeats go to all members, because the fleet is small.
    bool beatsToEverybody() const { return m_known.size() <= m_beatEverybodyUpTo; }

    /// Whether heartbeats go to a few members of the own zone only, which pass on what they hear.
    bool passesOn() const { return !beatsToEverybody() && m_zoneOthers.size() > s_beatZoneUpTo; }

    /// Grows when others are drawn.
    std::uint64_t drawRevision() const { return m_sampler.revision(); }

    /// Whether heartbeats go to the member with this control endpoint.
    bool beatsTo(Endpoint control) const;

private:
    /// What is held of another member.
    struct Known {
        Member m_member; ///< m_state: what it said last while heard of; otherwise what a reader says, or Unreachable
        std::uint64_t m_sequence = 0;
        MemberFigures m_figures;
        Deadline m_silentAt {}; ///< when it is Unreachable unless heard of before
        Deadline m_forgetAt {}; ///< when it is dropped unless listed or heard of before
        Deadline m_confirmAt {}; ///< when it is Unreachable, while it is suspected
        Deadline m_refreshAt {}; ///< when its figures are told anew
        std::uint64_t m_revision = 0; ///< of the last change that is worth telling
        std::uint64_t m_viewRevision = 0; ///< of the last change of the view
        std::uint64_t m_toldSequence = 0; ///< the highest that others told of
        bool m_heard = false; ///< a heartbeat of it has come, and it has not been silent since
        bool m_watched = false; ///< it beats to this VM straight, so that its silence means something
        bool m_suspected = false;
        bool m_toldGone = false; ///< its zone said that it is Unreachable while it was heard of straight
        bool m_listed = false; ///< the platform's list or a reader names it
        bool m_listedLeaving = false;
    };

    MemberState effectiveState(const Known& known) const;
    void refreshSelf();
    void rebuildView();
    void noteViewChanges(std::span<const Member> before);
    MemberState stateWithoutCuts(const Member& member) const;
    void markGone(Known& known, Instant now);
    void touch(Endpoint peers);
    void touch(Known& known, Endpoint peers);
    bool judgesAlone(const Known& known) const;
    bool tickMember(Known& known, Instant now);
    void suspect(Known& known, Instant now);
    void drawPeers(Instant now);
    bool updateCutZones(Instant now);
    void takeExistence(Known& known, const Member& told, bool isNew, Instant now);
    void takeNews(Known& known, const MemberBeat& told, bool isNew, Instant now);
    void takeReachable(Known& known, const MemberBeat& told, Instant now);
    void takeUnreachable(Known& known, const MemberBeat& told, bool isNew, Instant now);
    Duration refreshInterval() const;
    std::vector<Member> rankedMembers(std::string_view zone) const;

    Member m_self;
    std::size_t m_beatEverybodyUpTo;
    MemberFigures m_ownFigures;
    MemberState m_entryState = MemberState::Unreachable; ///< what the own entry process said last
    bool m_selfListedLeaving = false;
    std::map<Endpoint, Known> m_known;
    MemberView m_view;
    std::vector<Member> m_zoneOthers; ///< of m_view: the members of the own zone without this VM
    std::map<std::uint64_t, Endpoint> m_byRevision; ///< of each member, the last change
    std::uint64_t m_revision = 0;
    std::uint64_t m_selfRevision = 0;
    std::uint64_t m_digest = 0;
    std::map<std::string, Instant, std::less<>> m_zonesHeard;
    std::set<std::string, std::less<>> m_cutZones;
    PeerSampler m_sampler;
    boost::unordered_flat_set<std::uint32_t> m_addresses;
    boost::unordered_flat_set<std::uint32_t> m_previousAddresses;
    Instant m_lastTick;
    Deadline m_settledAt;
    bool m_informed = false; ///< the list or a heartbeat has come
    bool m_listSeen = false;
    bool m_settled = false;
};

} // namespace cuminrelay
