#include "flows/OwnerMap.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    std::vector<Member> makeMembers(std::size_t count, std::size_t zones)
    {
        std::vector<Member> members(count);
        for (std::size_t i = 0; i < count; ++i) {
            members[i].m_peers = Endpoint { static_cast<std::uint32_t>(i + 1), 4001 };
            members[i].m_zone = "zone-" + std::to_string(i % zones);
        }
        return members;
    }

    Endpoint ownerOf(const OwnerMap& map, std::size_t bucket)
    {
        return map.member(map.owners(static_cast<Bucket>(bucket)).m_owner);
    }

    RC_GTEST_PROP(OwnerMap, aFailedMemberMovesOnlyItsBucketsToTheirSuccessors, ())
    {
        const std::size_t count = *rc::gen::inRange<std::size_t>(2, 12);
        const std::size_t zones = *rc::gen::inRange<std::size_t>(1, 5);
        std::vector<Member> members = makeMembers(count, zones);
        const OwnerMap before { members };
        const std::size_t failed = *rc::gen::inRange<std::size_t>(0, count);
        const Endpoint failedMember = members[failed].m_peers;
        members[failed].m_state = MemberState::Unreachable;
        const OwnerMap after { members };
        for (std::size_t bucket = 0; bucket < c_bucketCount; ++bucket) {
            const BucketOwners& owners = before.owners(static_cast<Bucket>(bucket));
            const Endpoint expected
                = ownerOf(before, bucket) == failedMember ? before.member(owners.m_successor) : ownerOf(before, bucket);
            RC_ASSERT(ownerOf(after, bucket) == expected);
        }
    }

    TEST(OwnerMap, onlyActiveMembersOwnBuckets)
    {
        std::vector<Member> members = makeMembers(4, 2);
        members[0].m_state = MemberState::Joining;
        members[1].m_state = MemberState::Leaving;
        members[2].m_state = MemberState::Unreachable;
        const OwnerMap map { members };
        ASSERT_EQ(map.members().size(), 1U);
        EXPECT_EQ(ownerOf(map, 0), members[3].m_peers);
        EXPECT_EQ(map.owners(0).m_successor, c_noMember);
    }

} // namespace
} // namespace cuminrelay
