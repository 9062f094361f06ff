#include "members/PeerSampler.h"

#include <gtest/gtest.h>
#include <map>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };

    std::vector<Member> zoneOf(std::uint32_t count)
    {
        std::vector<Member> members;
        for (std::uint32_t number = 1; number <= count; ++number) {
            Member member;
            member.m_peers = { number, 1 };
            members.push_back(member);
        }
        return members;
    }

    TEST(PeerSampler, eachMemberIsSelectedOncePerRound)
    {
        const std::vector<Member> zone = zoneOf(30);
        PeerSampler sampler { 7 };
        std::map<Endpoint, unsigned> selections;
        std::size_t total = 0;
        Instant now = c_start;
        while (total < zone.size()) {
            for (const Endpoint peers : sampler.refresh(zone, now)) {
                ++selections[peers];
                ++total;
            }
            now += std::chrono::milliseconds { 250 };
        }
        EXPECT_EQ(selections.size(), zone.size());
        EXPECT_LE(now - c_start, PeerSampler::s_selectionTime * zone.size() / PeerSampler::s_fanOut);
    }

    TEST(PeerSampler, unreachableMemberIsReplacedAndOneIsRetried)
    {
        std::vector<Member> zone = zoneOf(10);
        PeerSampler sampler { 7 };
        const std::vector<Endpoint> first = sampler.refresh(zone, c_start);
        ASSERT_EQ(first.size(), PeerSampler::s_fanOut);
        for (Member& member : zone) {
            if (member.m_peers == first[0])
                member.m_state = MemberState::Unreachable;
        }
        const std::uint64_t revision = sampler.revision();
        EXPECT_EQ(sampler.refresh(zone, c_start).size(), 2U);
        EXPECT_GT(sampler.revision(), revision);
        EXPECT_TRUE(sampler.isSelected(first[0]));
        EXPECT_TRUE(sampler.refresh(zone, c_start).empty());
    }

    TEST(PeerSampler, unreachableMembersAreSelectedWhileNoneIsReachable)
    {
        std::vector<Member> zone = zoneOf(10);
        for (Member& member : zone)
            member.m_state = MemberState::Unreachable;
        PeerSampler sampler { 7 };
        EXPECT_EQ(sampler.refresh(zone, c_start).size(), PeerSampler::s_fanOut + 1);
    }

    TEST(PeerSampler, differentSeedsSelectDifferentMembers)
    {
        const std::vector<Member> zone = zoneOf(80);
        PeerSampler one { 7 };
        PeerSampler other { 8 };
        EXPECT_NE(one.refresh(zone, c_start), other.refresh(zone, c_start));
    }

} // namespace
} // namespace cuminrelay
