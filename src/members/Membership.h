#pragma once

#include "base/Time.h"
#include "configuration/Model.h"
#include "members/Member.h"

#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <map>
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
    /// A member that is silent for this long is Unreachable.
    static constexpr Duration s_silence = std::chrono::milliseconds { 1500 };

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

    /// Takes what a zone reader says of members. Their state is taken only for members that this VM does not beat to
    /// itself; of all others, only their existence.
    void applySummary(std::span<const Member> members, Instant now);

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

    /// Whom to beat to: everybody in a small fleet; otherwise the own zone and, for a reader, the readers of the other
    /// zones.
    std::vector<Member> peersToBeat() const;

    /// Other zones of which no member is reachable; sorted.
    std::vector<std::string> cutOffZones() const;

    /// The highest configuration version in force at a member that is heard of, this VM left out.
    ConfigVersion highestConfigVersionHeard() const;

    /// The lowest configuration version in force among the reachable members of the own zone.
    ConfigVersion lowestConfigVersionOfZone() const;

    /// What a member last said of itself; zeros when it was not heard of.
    MemberFigures figuresOf(Endpoint peers) const;

    /// Whether heartbeats go to all members, because the fleet is small.
    bool beatsToEverybody() const { return m_known.size() <= m_beatEverybodyUpTo; }

private:
    /// What is held of another member.
    struct Known {
        Member m_member; ///< m_state: what it said last while heard of; otherwise what a reader says, or Unreachable
        std::uint64_t m_sequence = 0;
        MemberFigures m_figures;
        Deadline m_silentAt {}; ///< when it is Unreachable unless heard of before
        Deadline m_forgetAt {}; ///< when it is dropped unless listed or heard of before
        bool m_heard = false; ///< a heartbeat of it has come, and it has not been silent since
        bool m_listed = false; ///< the platform's list or a reader names it
        bool m_listedLeaving = false;
    };

    static MemberState effectiveState(const Known& known);
    void refreshSelf();
    void rebuildView();
    std::vector<Member> rankedMembers(std::string_view zone) const;

    Member m_self;
    std::size_t m_beatEverybodyUpTo;
    MemberFigures m_ownFigures;
    MemberState m_entryState = MemberState::Unreachable; ///< what the own entry process said last
    bool m_selfListedLeaving = false;
    std::map<Endpoint, Known> m_known;
    MemberView m_view;
    boost::unordered_flat_set<std::uint32_t> m_addresses;
    boost::unordered_flat_set<std::uint32_t> m_previousAddresses;
    Instant m_lastTick;
    Deadline m_settledAt;
    bool m_informed = false; ///< the list or a heartbeat has come
    bool m_listSeen = false;
    bool m_settled = false;
};

} // namespace cuminrelay
