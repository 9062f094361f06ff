#include "members/Membership.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr std::size_t c_everybody = 16;

    Member memberOf(std::uint32_t number, std::string zone)
    {
        return Member { { number, 1 }, { number, 2 }, { number, 3 }, "entry-" + std::to_string(number), std::move(zone),
            0, MemberState::Active };
    }

    MemberFigures figuresAt(std::uint64_t configVersion)
    {
        return MemberFigures { ConfigVersion { configVersion }, 0, 0 };
    }

    MemberBeat beatOf(
        Member member, std::uint64_t sequence, std::uint64_t incarnation = 1, MemberState state = MemberState::Active)
    {
        member.m_incarnation = incarnation;
        member.m_state = state;
        return MemberBeat { std::move(member), sequence, figuresAt(1) };
    }

    const Member* findMember(const Membership& membership, std::uint32_t number)
    {
        const auto found = std::ranges::find(membership.view().m_members, Endpoint { number, 1 }, &Member::m_peers);
        return found == membership.view().m_members.end() ? nullptr : &*found;
    }

    MemberState stateOf(const Membership& membership, std::uint32_t number)
    {
        const Member* const member = findMember(membership, number);
        return member ? member->m_state : MemberState::Unreachable;
    }

    Membership startedMembership(std::size_t beatEverybodyUpTo = c_everybody)
    {
        Membership membership { memberOf(1, "a"), beatEverybodyUpTo, c_start };
        membership.updateSelf(1, MemberState::Active, figuresAt(1));
        return membership;
    }

    /// Ticks at the control process's interval, so that no pause is detected.
    void tickUntil(Membership& membership, Instant from, Instant until)
    {
        for (Instant now = from; now <= until; now += std::chrono::milliseconds { 250 })
            membership.tick(now);
    }

    TEST(Membership, aListedMemberIsUnreachableUntilItIsHeardOf)
    {
        Membership membership = startedMembership();
        const std::vector<Member> listed { memberOf(1, "a"), memberOf(2, "b") };
        membership.applyList(listed, c_start);
        ASSERT_EQ(membership.view().m_members.size(), 2U);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Unreachable);
        const std::uint64_t epoch = membership.view().m_epoch;
        membership.applyBeat(beatOf(memberOf(2, "b"), 1), c_start);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
        EXPECT_GT(membership.view().m_epoch, epoch);
    }

    TEST(Membership, aMemberThatTheLaggingListOmitsIsInTheViewOnceHeardOf)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(3, "a"), 1), c_start);
        membership.applyList(std::vector<Member> { memberOf(1, "a") }, c_start);
        EXPECT_EQ(stateOf(membership, 3), MemberState::Active);
    }

    TEST(Membership, aSilentMemberBecomesUnreachableAndReturns)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(2, "a"), 1), c_start);
        tickUntil(membership, c_start, c_start + Membership::s_silence - Duration { 1 });
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
        membership.tick(c_start + Membership::s_silence);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Unreachable);
        EXPECT_NE(findMember(membership, 2), nullptr);
        membership.applyBeat(beatOf(memberOf(2, "a"), 2), c_start + std::chrono::seconds { 2 });
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
    }

    TEST(Membership, anUnchangedBeatLeavesTheEpoch)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(2, "a"), 1), c_start);
        const std::uint64_t epoch = membership.view().m_epoch;
        membership.applyBeat(beatOf(memberOf(2, "a"), 2), c_start + std::chrono::milliseconds { 500 });
        EXPECT_EQ(membership.view().m_epoch, epoch);
    }

    TEST(Membership, anotherIncarnationIsARestartAndAnOlderBeatIsIgnored)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(2, "a"), 8, 7), c_start);
        const std::uint64_t epoch = membership.view().m_epoch;
        membership.applyBeat(beatOf(memberOf(2, "a"), 9, 2), c_start);
        EXPECT_EQ(findMember(membership, 2)->m_incarnation, 2U);
        EXPECT_GT(membership.view().m_epoch, epoch);
        membership.applyBeat(beatOf(memberOf(2, "a"), 8, 7, MemberState::Leaving), c_start);
        EXPECT_EQ(findMember(membership, 2)->m_incarnation, 2U);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
    }

    TEST(Membership, lowerSequenceNumbersAreTakenAfterSilence)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(2, "a"), 9, 5), c_start);
        tickUntil(membership, c_start, c_start + std::chrono::seconds { 2 });
        membership.applyBeat(beatOf(memberOf(2, "a"), 1, 4), c_start + std::chrono::seconds { 2 });
        EXPECT_EQ(findMember(membership, 2)->m_incarnation, 4U);
    }

    TEST(Membership, leavingIsTakenFromTheMemberAndFromTheList)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(2, "a"), 1, 1, MemberState::Leaving), c_start);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Leaving);
        membership.applyBeat(beatOf(memberOf(3, "a"), 1), c_start);
        Member leaving = memberOf(3, "a");
        leaving.m_state = MemberState::Leaving;
        Member self = memberOf(1, "a");
        self.m_state = MemberState::Leaving;
        membership.applyList(std::vector<Member> { self, leaving }, c_start);
        EXPECT_EQ(stateOf(membership, 3), MemberState::Leaving);
        EXPECT_EQ(stateOf(membership, 1), MemberState::Leaving);
    }

    TEST(Membership, aMemberThatIsNeitherListedNorHeardOfIsForgotten)
    {
        Membership membership = startedMembership();
        membership.applyList(std::vector<Member> { memberOf(1, "a"), memberOf(2, "a") }, c_start);
        membership.applyList(std::vector<Member> { memberOf(1, "a") }, c_start);
        tickUntil(membership, c_start, c_start + Membership::s_forget - std::chrono::milliseconds { 250 });
        EXPECT_NE(findMember(membership, 2), nullptr);
        membership.tick(c_start + Membership::s_forget);
        EXPECT_EQ(findMember(membership, 2), nullptr);
    }

    TEST(Membership, aDeadMemberStaysWhileTheLaggingListNamesIt)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(2, "a"), 1), c_start);
        membership.applyList(std::vector<Member> { memberOf(1, "a"), memberOf(2, "a") }, c_start);
        tickUntil(membership, c_start, c_start + 2 * Membership::s_forget);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Unreachable);
        EXPECT_NE(findMember(membership, 2), nullptr);
    }

    TEST(Membership, afterAnOwnPauseNobodyIsDeclaredDeadBeforePeersCouldBeatAgain)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(2, "a"), 1), c_start);
        membership.tick(c_start);
        const Instant awake = c_start + std::chrono::seconds { 60 };
        membership.tick(awake);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
        tickUntil(membership, awake, awake + Membership::s_silence - Duration { 1 });
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
        membership.tick(awake + Membership::s_silence);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Unreachable);
    }

    TEST(Membership, aZoneIsCutOffWhenNoneOfItsMembersIsReachable)
    {
        Membership membership = startedMembership();
        membership.applyBeat(beatOf(memberOf(2, "b"), 1), c_start);
        membership.applyList(std::vector<Member> { memberOf(2, "b"), memberOf(3, "b"), memberOf(4, "c") }, c_start);
        EXPECT_EQ(membership.cutOffZones(), std::vector<std::string> { "c" });
        tickUntil(membership, c_start, c_start + Membership::s_silence);
        EXPECT_EQ(membership.cutOffZones(), (std::vector<std::string> { "b", "c" }));
    }

    TEST(Membership, anAddressIsAMemberInTheCurrentAndThePreviousView)
    {
        Membership membership = startedMembership();
        EXPECT_FALSE(membership.isMember(2));
        membership.applyList(std::vector<Member> { memberOf(2, "a") }, c_start);
        EXPECT_TRUE(membership.isMember(2));
        membership.applyList({}, c_start);
        tickUntil(membership, c_start, c_start + Membership::s_forget);
        EXPECT_EQ(findMember(membership, 2), nullptr);
        EXPECT_TRUE(membership.isMember(2));
        membership.applyBeat(beatOf(memberOf(3, "a"), 1), c_start + Membership::s_forget);
        EXPECT_FALSE(membership.isMember(2));
    }

    TEST(Membership, readersAreTheSameForAllAndMoveOnlyWhenOneIsGone)
    {
        std::vector<Member> all;
        for (std::uint32_t number = 1; number <= 5; ++number)
            all.push_back(memberOf(number, "a"));
        std::vector<std::vector<Member>> seen;
        for (const Member& self : all) {
            Membership membership { self, c_everybody, c_start };
            membership.updateSelf(1, MemberState::Active, figuresAt(1));
            for (const Member& other : all)
                membership.applyBeat(beatOf(other, 1), c_start);
            seen.push_back(membership.zoneReaders("a"));
            EXPECT_EQ(membership.isReader(),
                std::ranges::any_of(seen.back(), [&](const Member& reader) { return reader.m_peers == self.m_peers; }));
        }
        for (const std::vector<Member>& readers : seen) {
            ASSERT_EQ(readers.size(), 2U);
            EXPECT_EQ(readers[0].m_peers, seen[0][0].m_peers);
            EXPECT_EQ(readers[1].m_peers, seen[0][1].m_peers);
        }
        const Member survivor = seen[0][1];
        Membership membership { survivor, c_everybody, c_start };
        membership.updateSelf(1, MemberState::Active, figuresAt(1));
        membership.applyList(all, c_start);
        EXPECT_TRUE(membership.isFirstReader());
        EXPECT_TRUE(membership.mustReadPlatform());
    }

    TEST(Membership, whoIsNoReaderReadsThePlatformOnlyUntilItKnowsAReader)
    {
        std::vector<Member> all;
        for (std::uint32_t number = 1; number <= 5; ++number)
            all.push_back(memberOf(number, "a"));
        Membership any { all[0], c_everybody, c_start };
        any.updateSelf(1, MemberState::Active, figuresAt(1));
        for (const Member& other : all)
            any.applyBeat(beatOf(other, 1), c_start);
        const std::vector<Member> readers = any.zoneReaders("a");
        const auto other = std::ranges::find_if(all, [&](const Member& member) {
            return member.m_peers != readers[0].m_peers && member.m_peers != readers[1].m_peers;
        });
        Membership membership { *other, c_everybody, c_start };
        membership.updateSelf(1, MemberState::Active, figuresAt(1));
        EXPECT_TRUE(membership.mustReadPlatform());
        membership.applyList(all, c_start);
        EXPECT_TRUE(membership.mustReadPlatform());
        for (const Member& member : all)
            membership.applyBeat(beatOf(member, 1), c_start);
        EXPECT_FALSE(membership.mustReadPlatform());
        tickUntil(membership, c_start, c_start + Membership::s_silence);
        EXPECT_TRUE(membership.mustReadPlatform());
    }

    TEST(Membership, beatsGoToEverybodyInASmallFleetAndToReadersOfOtherZonesInALargeOne)
    {
        std::vector<Member> all;
        for (std::uint32_t number = 1; number <= 12; ++number)
            all.push_back(memberOf(number, number <= 4 ? "a" : number <= 8 ? "b" : "c"));
        std::size_t readers = 0;
        for (std::uint32_t self = 0; self < 4; ++self) {
            for (const std::size_t bound : { std::size_t { 11 }, std::size_t { 10 } }) {
                Membership membership { all[self], bound, c_start };
                membership.updateSelf(1, MemberState::Active, figuresAt(1));
                for (const Member& member : all)
                    membership.applyBeat(beatOf(member, 1), c_start);
                const std::vector<Member> peers = membership.peersToBeat();
                if (bound == 11) {
                    EXPECT_EQ(peers.size(), 11U);
                    continue;
                }
                readers += membership.isReader() ? 1 : 0;
                EXPECT_EQ(peers.size(), membership.isReader() ? 3U + 4U : 3U);
            }
        }
        EXPECT_EQ(readers, 2U);
    }

    TEST(Membership, inALargeFleetTheStateOfFarMembersIsTakenFromAReader)
    {
        Membership membership = startedMembership(1);
        Member far = memberOf(7, "b");
        far.m_incarnation = 3;
        const Member near = memberOf(8, "a");
        const MemberFigures figures;
        membership.applySummary(
            std::vector<MemberBeat> { MemberBeat { near, 5, figures }, MemberBeat { far, 5, figures } }, c_start);
        EXPECT_EQ(stateOf(membership, 7), MemberState::Active);
        EXPECT_EQ(stateOf(membership, 8), MemberState::Unreachable);
        EXPECT_NE(findMember(membership, 8), nullptr);
        far.m_state = MemberState::Unreachable;
        membership.applySummary(std::vector<MemberBeat> { MemberBeat { far, 5, figures } }, c_start);
        EXPECT_EQ(stateOf(membership, 7), MemberState::Unreachable);
        tickUntil(membership, c_start, c_start + Membership::s_forget);
        EXPECT_EQ(findMember(membership, 7), nullptr);
    }

    /// This VM (1) in a zone of 12, with all others reported through summaries.
    Membership largeZone()
    {
        Membership membership = startedMembership(1);
        std::vector<MemberBeat> told;
        for (std::uint32_t number = 2; number <= 12; ++number)
            told.push_back(beatOf(memberOf(number, "a"), 10));
        membership.applySummary(told, c_start);
        membership.applySummary(told, c_start);
        told.clear();
        for (std::uint32_t number = 2; number <= 12; ++number)
            told.push_back(beatOf(memberOf(number, "a"), 11));
        membership.applySummary(told, c_start);
        return membership;
    }

    MemberBeat claimOf(std::uint32_t number, std::uint64_t sequence)
    {
        return beatOf(memberOf(number, "a"), sequence, 1, MemberState::Unreachable);
    }

    TEST(Membership, inALargeZoneAFewDrawnMembersAreBeatenTo)
    {
        Membership membership = largeZone();
        ASSERT_TRUE(membership.passesOn());
        membership.tick(c_start);
        EXPECT_GE(membership.peersToBeat().size(), PeerSampler::s_fanOut);
        EXPECT_LE(membership.peersToBeat().size(), PeerSampler::s_fanOut + 1);
    }

    TEST(Membership, aClaimIsASuspicionThatANewerHeartbeatRefutes)
    {
        Membership membership = largeZone();
        membership.applySummary(std::vector<MemberBeat> { claimOf(5, 11) }, c_start);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Active);
        const Instant refuted = c_start + Membership::s_confirm / 2;
        membership.applySummary(std::vector<MemberBeat> { beatOf(memberOf(5, "a"), 12) }, refuted);
        membership.tick(c_start + Membership::s_confirm);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Active);
        membership.applySummary(std::vector<MemberBeat> { claimOf(5, 12) }, c_start + Membership::s_confirm);
        membership.tick(c_start + 2 * Membership::s_confirm);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Unreachable);
        const Instant back = c_start + 2 * Membership::s_confirm;
        membership.applySummary(std::vector<MemberBeat> { beatOf(memberOf(5, "a"), 13) }, back);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Active);
    }

    TEST(Membership, anOldClaimIsAnsweredWithWhatIsKnown)
    {
        Membership membership = largeZone();
        std::uint64_t revision = membership.revision();
        membership.applySummary(std::vector<MemberBeat> { claimOf(5, 7) }, c_start);
        const std::vector<MemberBeat> told = membership.changedSince(revision, false, 8);
        ASSERT_EQ(told.size(), 1U);
        EXPECT_EQ(told[0].m_sender.m_state, MemberState::Active);
        EXPECT_EQ(told[0].m_sequence, 11U);
    }

    TEST(Membership, aWatchedMemberThatFallsSilentIsSuspectedAndToldOf)
    {
        Membership membership = largeZone();
        membership.applyBeat(beatOf(memberOf(5, "a"), 20), c_start);
        std::uint64_t revision = membership.revision();
        tickUntil(membership, c_start, c_start + Membership::s_silence);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Active);
        const std::vector<MemberBeat> told = membership.changedSince(revision, false, 64);
        const auto claim = std::ranges::find_if(told, [](const MemberBeat& beat) {
            return beat.m_sender.m_peers == Endpoint { 5, 1 };
        });
        ASSERT_NE(claim, told.end());
        EXPECT_EQ(claim->m_sender.m_state, MemberState::Unreachable);
        EXPECT_EQ(claim->m_sequence, 20U);
        tickUntil(membership, c_start + Membership::s_silence, c_start + Membership::s_silence + Membership::s_confirm);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Unreachable);
    }

    TEST(Membership, aMemberThatBeatsToOthersIsNotMissed)
    {
        Membership membership = largeZone();
        membership.tick(c_start);
        const std::vector<Member> drawn = membership.peersToBeat();
        const auto other = std::ranges::find_if(membership.view().m_members, [&](const Member& member) {
            return member.m_peers != Endpoint { 1, 1 }
            && std::ranges::find(drawn, member.m_peers, &Member::m_peers) == drawn.end();
        });
        const Endpoint peers = other->m_peers;
        membership.applyBeat(beatOf(memberOf(peers.m_address, "a"), 20), c_start);
        membership.stopWatching(peers, c_start);
        tickUntil(membership, c_start, c_start + Membership::s_silence + Membership::s_confirm);
        EXPECT_EQ(stateOf(membership, peers.m_address), MemberState::Active);
    }

    TEST(Membership, inALargeFleetAZoneThatNobodyHearsOfIsCutOffAndReturns)
    {
        Membership membership = startedMembership(1);
        membership.applySummary(
            std::vector<MemberBeat> { beatOf(memberOf(2, "a"), 5), beatOf(memberOf(7, "b"), 5) }, c_start);
        membership.applyZoneHeard("b", c_start);
        tickUntil(membership, c_start, c_start + Membership::s_zoneSilence - std::chrono::milliseconds { 250 });
        EXPECT_TRUE(membership.cutOffZones().empty());
        membership.tick(c_start + Membership::s_zoneSilence);
        EXPECT_EQ(membership.cutOffZones(), std::vector<std::string> { "b" });
        membership.applyZoneHeard("b", c_start + Membership::s_zoneSilence);
        membership.tick(c_start + Membership::s_zoneSilence);
        EXPECT_EQ(stateOf(membership, 7), MemberState::Active);
    }

    TEST(Membership, aViewSettlesWhenTheListedAreHeardOfOrHadTheirTime)
    {
        Membership alone = startedMembership();
        EXPECT_FALSE(alone.settled(c_start + std::chrono::hours { 1 }));

        Membership heard = startedMembership();
        heard.applyList(std::vector<Member> { memberOf(1, "a"), memberOf(2, "a") }, c_start);
        EXPECT_FALSE(heard.settled(c_start));
        heard.applyBeat(beatOf(memberOf(2, "a"), 1), c_start);
        EXPECT_TRUE(heard.settled(c_start));

        Membership waited = startedMembership();
        waited.applyList(std::vector<Member> { memberOf(1, "a"), memberOf(2, "a") }, c_start);
        EXPECT_FALSE(waited.settled(c_start + Membership::s_settle - Duration { 1 }));
        EXPECT_TRUE(waited.settled(c_start + Membership::s_settle));
    }

    TEST(Membership, theLowestConfigurationVersionOfTheZoneLeavesOutTheSilentAndOtherZones)
    {
        Membership membership = startedMembership();
        membership.updateSelf(1, MemberState::Active, figuresAt(9));
        MemberBeat beat = beatOf(memberOf(2, "a"), 1);
        beat.m_figures = figuresAt(7);
        membership.applyBeat(beat, c_start);
        beat = beatOf(memberOf(3, "b"), 1);
        beat.m_figures = figuresAt(2);
        membership.applyBeat(beat, c_start);
        EXPECT_EQ(membership.lowestConfigVersionOfZone(), ConfigVersion { 7 });
        EXPECT_EQ(membership.figuresOf({ 3, 1 }), figuresAt(2));
        tickUntil(membership, c_start, c_start + Membership::s_silence);
        EXPECT_EQ(membership.lowestConfigVersionOfZone(), ConfigVersion { 9 });
    }

    RC_GTEST_PROP(Membership, orderAndRepetitionOfBeatsDoNotChangeTheView, ())
    {
        // Sequence numbers are unique: heartbeats of a sender with equal numbers are equal.
        std::vector<MemberBeat> beats;
        const std::size_t count = *rc::gen::inRange<std::size_t>(1, 12);
        for (std::size_t i = 0; i < count; ++i) {
            const std::uint32_t number = *rc::gen::inRange<std::uint32_t>(2, 5);
            const std::uint64_t incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
            const MemberState state
                = *rc::gen::element(MemberState::Active, MemberState::Leaving, MemberState::Unreachable);
            beats.push_back(beatOf(memberOf(number, number % 2 == 0 ? "a" : "b"), i, incarnation, state));
        }
        std::vector<MemberBeat> disturbed = beats;
        for (const std::size_t repeated :
            *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, count)))
            disturbed.push_back(beats[repeated]);
        const std::vector<std::size_t> swaps = *rc::gen::container<std::vector<std::size_t>>(
            disturbed.size(), rc::gen::inRange<std::size_t>(0, disturbed.size()));
        for (std::size_t i = 0; i < swaps.size(); ++i)
            std::swap(disturbed[i], disturbed[swaps[i]]);

        Membership straight = startedMembership();
        Membership mixed = startedMembership();
        for (const MemberBeat& beat : beats)
            straight.applyBeat(beat, c_start);
        for (const MemberBeat& beat : disturbed)
            mixed.applyBeat(beat, c_start);
        RC_ASSERT(straight.view().m_members == mixed.view().m_members);
    }

} // namespace
} // namespace cuminrelay
