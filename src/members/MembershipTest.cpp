#include "members/Membership.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr std::size_t c_fullMeshLimit = 16;

    Member memberOf(std::uint32_t number, std::string zone)
    {
        return Member { { number, 1 }, { number, 2 }, { number, 3 }, "entry-" + std::to_string(number), std::move(zone),
            0, MemberState::Active };
    }

    MemberStatistics statisticsAt(std::uint64_t configVersion)
    {
        return MemberStatistics { ConfigVersion { configVersion }, 0, 0 };
    }

    MemberHeartbeat heartbeatOf(
        Member member, std::uint64_t sequence, std::uint64_t incarnation = 1, MemberState state = MemberState::Active)
    {
        member.m_incarnation = incarnation;
        member.m_state = state;
        return MemberHeartbeat { std::move(member), sequence, statisticsAt(1) };
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

    Membership startedMembership(std::size_t fullMeshLimit = c_fullMeshLimit)
    {
        Membership membership { memberOf(1, "a"), fullMeshLimit, c_start };
        membership.updateSelf(1, MemberState::Active, statisticsAt(1));
        return membership;
    }

    /// Ticks at the control process's interval, so that no pause is detected.
    void tickUntil(Membership& membership, Instant from, Instant until)
    {
        for (Instant now = from; now <= until; now += std::chrono::milliseconds { 250 })
            membership.tick(now);
    }

    TEST(Membership, listedMemberIsUnreachableUntilFirstHeartbeat)
    {
        Membership membership = startedMembership();
        const std::vector<Member> listed { memberOf(1, "a"), memberOf(2, "b") };
        membership.applyList(listed, c_start);
        ASSERT_EQ(membership.view().m_members.size(), 2U);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Unreachable);
        const std::uint64_t epoch = membership.view().m_epoch;
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "b"), 1), c_start);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
        EXPECT_GT(membership.view().m_epoch, epoch);
    }

    TEST(Membership, unlistedMemberEntersViewWithHeartbeat)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(3, "a"), 1), c_start);
        membership.applyList(std::vector<Member> { memberOf(1, "a") }, c_start);
        EXPECT_EQ(stateOf(membership, 3), MemberState::Active);
    }

    TEST(Membership, memberWithoutHeartbeatsBecomesUnreachableAndRecovers)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 1), c_start);
        tickUntil(membership, c_start, c_start + Membership::s_heartbeatTimeout - Duration { 1 });
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
        membership.tick(c_start + Membership::s_heartbeatTimeout);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Unreachable);
        EXPECT_NE(findMember(membership, 2), nullptr);
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 2), c_start + std::chrono::seconds { 2 });
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
    }

    TEST(Membership, unchangedHeartbeatKeepsEpoch)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 1), c_start);
        const std::uint64_t epoch = membership.view().m_epoch;
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 2), c_start + std::chrono::milliseconds { 500 });
        EXPECT_EQ(membership.view().m_epoch, epoch);
    }

    TEST(Membership, newIncarnationIsAppliedAndStaleHeartbeatIsIgnored)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 8, 7), c_start);
        const std::uint64_t epoch = membership.view().m_epoch;
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 9, 2), c_start);
        EXPECT_EQ(findMember(membership, 2)->m_incarnation, 2U);
        EXPECT_GT(membership.view().m_epoch, epoch);
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 8, 7, MemberState::Leaving), c_start);
        EXPECT_EQ(findMember(membership, 2)->m_incarnation, 2U);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
    }

    TEST(Membership, lowerSequenceNumberIsAcceptedAfterHeartbeatTimeout)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 9, 5), c_start);
        tickUntil(membership, c_start, c_start + std::chrono::seconds { 2 });
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 1, 4), c_start + std::chrono::seconds { 2 });
        EXPECT_EQ(findMember(membership, 2)->m_incarnation, 4U);
    }

    TEST(Membership, leavingStateComesFromHeartbeatOrList)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 1, 1, MemberState::Leaving), c_start);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Leaving);
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(3, "a"), 1), c_start);
        Member leaving = memberOf(3, "a");
        leaving.m_state = MemberState::Leaving;
        Member self = memberOf(1, "a");
        self.m_state = MemberState::Leaving;
        membership.applyList(std::vector<Member> { self, leaving }, c_start);
        EXPECT_EQ(stateOf(membership, 3), MemberState::Leaving);
        EXPECT_EQ(stateOf(membership, 1), MemberState::Leaving);
    }

    TEST(Membership, memberNeitherListedNorAliveIsRemoved)
    {
        Membership membership = startedMembership();
        membership.applyList(std::vector<Member> { memberOf(1, "a"), memberOf(2, "a") }, c_start);
        membership.applyList(std::vector<Member> { memberOf(1, "a") }, c_start);
        tickUntil(membership, c_start, c_start + Membership::s_removalTimeout - std::chrono::milliseconds { 250 });
        EXPECT_NE(findMember(membership, 2), nullptr);
        membership.tick(c_start + Membership::s_removalTimeout);
        EXPECT_EQ(findMember(membership, 2), nullptr);
    }

    TEST(Membership, failedMemberStaysInViewWhileListed)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 1), c_start);
        membership.applyList(std::vector<Member> { memberOf(1, "a"), memberOf(2, "a") }, c_start);
        tickUntil(membership, c_start, c_start + 2 * Membership::s_removalTimeout);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Unreachable);
        EXPECT_NE(findMember(membership, 2), nullptr);
    }

    TEST(Membership, pauseOfThisProcessExtendsHeartbeatDeadlines)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 1), c_start);
        membership.tick(c_start);
        const Instant resumedAt = c_start + std::chrono::seconds { 60 };
        membership.tick(resumedAt);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
        tickUntil(membership, resumedAt, resumedAt + Membership::s_heartbeatTimeout - Duration { 1 });
        EXPECT_EQ(stateOf(membership, 2), MemberState::Active);
        membership.tick(resumedAt + Membership::s_heartbeatTimeout);
        EXPECT_EQ(stateOf(membership, 2), MemberState::Unreachable);
    }

    TEST(Membership, zoneWithoutReachableMemberIsPartitioned)
    {
        Membership membership = startedMembership();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(2, "b"), 1), c_start);
        membership.applyList(std::vector<Member> { memberOf(2, "b"), memberOf(3, "b"), memberOf(4, "c") }, c_start);
        EXPECT_EQ(membership.partitionedZones(), std::vector<std::string> { "c" });
        tickUntil(membership, c_start, c_start + Membership::s_heartbeatTimeout);
        EXPECT_EQ(membership.partitionedZones(), (std::vector<std::string> { "b", "c" }));
    }

    TEST(Membership, addressOfCurrentOrPreviousViewIsMember)
    {
        Membership membership = startedMembership();
        EXPECT_FALSE(membership.isMember(2));
        membership.applyList(std::vector<Member> { memberOf(2, "a") }, c_start);
        EXPECT_TRUE(membership.isMember(2));
        membership.applyList({}, c_start);
        tickUntil(membership, c_start, c_start + Membership::s_removalTimeout);
        EXPECT_EQ(findMember(membership, 2), nullptr);
        EXPECT_TRUE(membership.isMember(2));
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(3, "a"), 1), c_start + Membership::s_removalTimeout);
        EXPECT_FALSE(membership.isMember(2));
    }

    TEST(Membership, membersAgreeOnReadersAndReplaceOnlyUnreachableOnes)
    {
        std::vector<Member> all;
        for (std::uint32_t number = 1; number <= 5; ++number)
            all.push_back(memberOf(number, "a"));
        std::vector<std::vector<Member>> readersByMember;
        for (const Member& self : all) {
            Membership membership { self, c_fullMeshLimit, c_start };
            membership.updateSelf(1, MemberState::Active, statisticsAt(1));
            for (const Member& other : all)
                membership.applyMemberHeartbeat(heartbeatOf(other, 1), c_start);
            readersByMember.push_back(membership.zoneReaders("a"));
            EXPECT_EQ(membership.isReader(), std::ranges::any_of(readersByMember.back(), [&](const Member& reader) {
                return reader.m_peers == self.m_peers;
            }));
        }
        for (const std::vector<Member>& readers : readersByMember) {
            ASSERT_EQ(readers.size(), 2U);
            EXPECT_EQ(readers[0].m_peers, readersByMember[0][0].m_peers);
            EXPECT_EQ(readers[1].m_peers, readersByMember[0][1].m_peers);
        }
        const Member survivor = readersByMember[0][1];
        Membership membership { survivor, c_fullMeshLimit, c_start };
        membership.updateSelf(1, MemberState::Active, statisticsAt(1));
        membership.applyList(all, c_start);
        EXPECT_TRUE(membership.isFirstReader());
        EXPECT_TRUE(membership.mustReadPlatform());
    }

    TEST(Membership, nonReaderReadsPlatformOnlyWithoutReachableReader)
    {
        std::vector<Member> all;
        for (std::uint32_t number = 1; number <= 5; ++number)
            all.push_back(memberOf(number, "a"));
        Membership observer { all[0], c_fullMeshLimit, c_start };
        observer.updateSelf(1, MemberState::Active, statisticsAt(1));
        for (const Member& other : all)
            observer.applyMemberHeartbeat(heartbeatOf(other, 1), c_start);
        const std::vector<Member> readers = observer.zoneReaders("a");
        const auto other = std::ranges::find_if(all, [&](const Member& member) {
            return member.m_peers != readers[0].m_peers && member.m_peers != readers[1].m_peers;
        });
        Membership membership { *other, c_fullMeshLimit, c_start };
        membership.updateSelf(1, MemberState::Active, statisticsAt(1));
        EXPECT_TRUE(membership.mustReadPlatform());
        membership.applyList(all, c_start);
        EXPECT_TRUE(membership.mustReadPlatform());
        for (const Member& member : all)
            membership.applyMemberHeartbeat(heartbeatOf(member, 1), c_start);
        EXPECT_FALSE(membership.mustReadPlatform());
        tickUntil(membership, c_start, c_start + Membership::s_heartbeatTimeout);
        EXPECT_TRUE(membership.mustReadPlatform());
    }

    TEST(Membership, smallFleetUsesFullMeshAndLargeFleetZoneReaders)
    {
        std::vector<Member> all;
        for (std::uint32_t number = 1; number <= 12; ++number)
            all.push_back(memberOf(number, number <= 4 ? "a" : number <= 8 ? "b" : "c"));
        std::size_t readers = 0;
        for (std::uint32_t self = 0; self < 4; ++self) {
            for (const std::size_t bound : { std::size_t { 11 }, std::size_t { 10 } }) {
                Membership membership { all[self], bound, c_start };
                membership.updateSelf(1, MemberState::Active, statisticsAt(1));
                for (const Member& member : all)
                    membership.applyMemberHeartbeat(heartbeatOf(member, 1), c_start);
                const std::vector<Member> peers = membership.heartbeatTargets();
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

    TEST(Membership, largeFleetAppliesRemoteMemberStateFromSummary)
    {
        Membership membership = startedMembership(1);
        Member remoteMember = memberOf(7, "b");
        remoteMember.m_incarnation = 3;
        const Member localMember = memberOf(8, "a");
        const MemberStatistics statistics;
        membership.applySummary(std::vector<MemberHeartbeat> { MemberHeartbeat { localMember, 5, statistics },
                                    MemberHeartbeat { remoteMember, 5, statistics } },
            c_start);
        EXPECT_EQ(stateOf(membership, 7), MemberState::Active);
        EXPECT_EQ(stateOf(membership, 8), MemberState::Unreachable);
        EXPECT_NE(findMember(membership, 8), nullptr);
        remoteMember.m_state = MemberState::Unreachable;
        membership.applySummary(
            std::vector<MemberHeartbeat> { MemberHeartbeat { remoteMember, 5, statistics } }, c_start);
        EXPECT_EQ(stateOf(membership, 7), MemberState::Unreachable);
        tickUntil(membership, c_start, c_start + Membership::s_removalTimeout);
        EXPECT_EQ(findMember(membership, 7), nullptr);
    }

    /// This VM (1) in a zone of 12, with all others reported through summaries.
    Membership largeZone()
    {
        Membership membership = startedMembership(1);
        std::vector<MemberHeartbeat> reported;
        for (std::uint32_t number = 2; number <= 12; ++number)
            reported.push_back(heartbeatOf(memberOf(number, "a"), 10));
        membership.applySummary(reported, c_start);
        membership.applySummary(reported, c_start);
        reported.clear();
        for (std::uint32_t number = 2; number <= 12; ++number)
            reported.push_back(heartbeatOf(memberOf(number, "a"), 11));
        membership.applySummary(reported, c_start);
        return membership;
    }

    MemberHeartbeat suspicionOf(std::uint32_t number, std::uint64_t sequence)
    {
        return heartbeatOf(memberOf(number, "a"), sequence, 1, MemberState::Unreachable);
    }

    TEST(Membership, largeZoneSelectsFewHeartbeatTargets)
    {
        Membership membership = largeZone();
        ASSERT_TRUE(membership.usesGossip());
        membership.tick(c_start);
        EXPECT_GE(membership.heartbeatTargets().size(), PeerSampler::s_fanOut);
        EXPECT_LE(membership.heartbeatTargets().size(), PeerSampler::s_fanOut + 1);
    }

    TEST(Membership, newerHeartbeatRefutesSuspicion)
    {
        Membership membership = largeZone();
        membership.applySummary(std::vector<MemberHeartbeat> { suspicionOf(5, 11) }, c_start);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Active);
        const Instant refutedAt = c_start + Membership::s_suspicionTimeout / 2;
        membership.applySummary(std::vector<MemberHeartbeat> { heartbeatOf(memberOf(5, "a"), 12) }, refutedAt);
        membership.tick(c_start + Membership::s_suspicionTimeout);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Active);
        membership.applySummary(
            std::vector<MemberHeartbeat> { suspicionOf(5, 12) }, c_start + Membership::s_suspicionTimeout);
        membership.tick(c_start + 2 * Membership::s_suspicionTimeout);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Unreachable);
        const Instant back = c_start + 2 * Membership::s_suspicionTimeout;
        membership.applySummary(std::vector<MemberHeartbeat> { heartbeatOf(memberOf(5, "a"), 13) }, back);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Active);
    }

    TEST(Membership, staleSuspicionIsAnsweredWithStoredState)
    {
        Membership membership = largeZone();
        std::uint64_t revision = membership.revision();
        membership.applySummary(std::vector<MemberHeartbeat> { suspicionOf(5, 7) }, c_start);
        const std::vector<MemberHeartbeat> reported = membership.changedSince(revision, false, 8);
        ASSERT_EQ(reported.size(), 1U);
        EXPECT_EQ(reported[0].m_sender.m_state, MemberState::Active);
        EXPECT_EQ(reported[0].m_sequence, 11U);
    }

    TEST(Membership, monitoredMemberWithoutHeartbeatsIsSuspectedAndGossiped)
    {
        Membership membership = largeZone();
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(5, "a"), 20), c_start);
        std::uint64_t revision = membership.revision();
        tickUntil(membership, c_start, c_start + Membership::s_heartbeatTimeout);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Active);
        const std::vector<MemberHeartbeat> reported = membership.changedSince(revision, false, 64);
        const auto suspicion = std::ranges::find_if(reported, [](const MemberHeartbeat& heartbeat) {
            return heartbeat.m_sender.m_peers == Endpoint { 5, 1 };
        });
        ASSERT_NE(suspicion, reported.end());
        EXPECT_EQ(suspicion->m_sender.m_state, MemberState::Unreachable);
        EXPECT_EQ(suspicion->m_sequence, 20U);
        tickUntil(membership, c_start + Membership::s_heartbeatTimeout,
            c_start + Membership::s_heartbeatTimeout + Membership::s_suspicionTimeout);
        EXPECT_EQ(stateOf(membership, 5), MemberState::Unreachable);
    }

    TEST(Membership, memberWithOtherHeartbeatTargetsStaysActive)
    {
        Membership membership = largeZone();
        membership.tick(c_start);
        const std::vector<Member> targets = membership.heartbeatTargets();
        const auto other = std::ranges::find_if(membership.view().m_members, [&](const Member& member) {
            return member.m_peers != Endpoint { 1, 1 }
            && std::ranges::find(targets, member.m_peers, &Member::m_peers) == targets.end();
        });
        const Endpoint peers = other->m_peers;
        membership.applyMemberHeartbeat(heartbeatOf(memberOf(peers.m_address, "a"), 20), c_start);
        membership.stopMonitoring(peers, c_start);
        tickUntil(membership, c_start, c_start + Membership::s_heartbeatTimeout + Membership::s_suspicionTimeout);
        EXPECT_EQ(stateOf(membership, peers.m_address), MemberState::Active);
    }

    TEST(Membership, largeFleetZoneWithoutContactIsPartitionedAndRecovers)
    {
        Membership membership = startedMembership(1);
        membership.applySummary(
            std::vector<MemberHeartbeat> { heartbeatOf(memberOf(2, "a"), 5), heartbeatOf(memberOf(7, "b"), 5) },
            c_start);
        membership.applyZoneContact("b", c_start);
        tickUntil(membership, c_start, c_start + Membership::s_zoneTimeout - std::chrono::milliseconds { 250 });
        EXPECT_TRUE(membership.partitionedZones().empty());
        membership.tick(c_start + Membership::s_zoneTimeout);
        EXPECT_EQ(membership.partitionedZones(), std::vector<std::string> { "b" });
        membership.applyZoneContact("b", c_start + Membership::s_zoneTimeout);
        membership.tick(c_start + Membership::s_zoneTimeout);
        EXPECT_EQ(stateOf(membership, 7), MemberState::Active);
    }

    TEST(Membership, viewConvergesWhenListedMembersAreAliveOrTimeOut)
    {
        Membership withoutInput = startedMembership();
        EXPECT_FALSE(withoutInput.isConverged(c_start + std::chrono::hours { 1 }));

        Membership converged = startedMembership();
        converged.applyList(std::vector<Member> { memberOf(1, "a"), memberOf(2, "a") }, c_start);
        EXPECT_FALSE(converged.isConverged(c_start));
        converged.applyMemberHeartbeat(heartbeatOf(memberOf(2, "a"), 1), c_start);
        EXPECT_TRUE(converged.isConverged(c_start));

        Membership expired = startedMembership();
        expired.applyList(std::vector<Member> { memberOf(1, "a"), memberOf(2, "a") }, c_start);
        EXPECT_FALSE(expired.isConverged(c_start + Membership::s_convergenceTimeout - Duration { 1 }));
        EXPECT_TRUE(expired.isConverged(c_start + Membership::s_convergenceTimeout));
    }

    TEST(Membership, lowestConfigVersionExcludesUnreachableMembersAndOtherZones)
    {
        Membership membership = startedMembership();
        membership.updateSelf(1, MemberState::Active, statisticsAt(9));
        MemberHeartbeat heartbeat = heartbeatOf(memberOf(2, "a"), 1);
        heartbeat.m_statistics = statisticsAt(7);
        membership.applyMemberHeartbeat(heartbeat, c_start);
        heartbeat = heartbeatOf(memberOf(3, "b"), 1);
        heartbeat.m_statistics = statisticsAt(2);
        membership.applyMemberHeartbeat(heartbeat, c_start);
        EXPECT_EQ(membership.lowestConfigVersionOfZone(), ConfigVersion { 7 });
        EXPECT_EQ(membership.statisticsOf({ 3, 1 }), statisticsAt(2));
        tickUntil(membership, c_start, c_start + Membership::s_heartbeatTimeout);
        EXPECT_EQ(membership.lowestConfigVersionOfZone(), ConfigVersion { 9 });
    }

    RC_GTEST_PROP(Membership, viewIsIndependentOfHeartbeatOrderAndDuplication, ())
    {
        // Sequence numbers are unique: heartbeats of a sender with equal numbers are equal.
        std::vector<MemberHeartbeat> heartbeats;
        const std::size_t count = *rc::gen::inRange<std::size_t>(1, 12);
        for (std::size_t i = 0; i < count; ++i) {
            const std::uint32_t number = *rc::gen::inRange<std::uint32_t>(2, 5);
            const std::uint64_t incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
            const MemberState state
                = *rc::gen::element(MemberState::Active, MemberState::Leaving, MemberState::Unreachable);
            heartbeats.push_back(heartbeatOf(memberOf(number, number % 2 == 0 ? "a" : "b"), i, incarnation, state));
        }
        std::vector<MemberHeartbeat> disturbed = heartbeats;
        for (const std::size_t repeated :
            *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, count)))
            disturbed.push_back(heartbeats[repeated]);
        const std::vector<std::size_t> swaps = *rc::gen::container<std::vector<std::size_t>>(
            disturbed.size(), rc::gen::inRange<std::size_t>(0, disturbed.size()));
        for (std::size_t i = 0; i < swaps.size(); ++i)
            std::swap(disturbed[i], disturbed[swaps[i]]);

        Membership inOrder = startedMembership();
        Membership reordered = startedMembership();
        for (const MemberHeartbeat& heartbeat : heartbeats)
            inOrder.applyMemberHeartbeat(heartbeat, c_start);
        for (const MemberHeartbeat& heartbeat : disturbed)
            reordered.applyMemberHeartbeat(heartbeat, c_start);
        RC_ASSERT(inOrder.view().m_members == reordered.view().m_members);
    }

} // namespace
} // namespace cuminrelay
