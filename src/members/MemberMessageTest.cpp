#include "members/MemberMessage.h"

#include <array>
#include <capnp/message.h>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    Member sampleMember(std::uint16_t port)
    {
        return Member { { 0x7f000001, port }, { 0x7f000001, 2 }, { 0x7f000001, 3 }, "entry-1", "khomas-a", 42,
            MemberState::Leaving };
    }

    TEST(MemberMessage, encodedMembersDecodeToTheSame)
    {
        const std::array<Member, 2> members { sampleMember(1), sampleMember(9) };
        capnp::MallocMessageBuilder message;
        capnp::Orphan<capnp::List<wire::Member>> list
            = message.getOrphanage().newOrphan<capnp::List<wire::Member>>(members.size());
        writeMembers(members, list.get());
        const Outcome<std::vector<Member>> read = readMembers(list.getReader());
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read.value(), std::vector<Member>(members.begin(), members.end()));
    }

    TEST(MemberMessage, malformedMembersAreRejected)
    {
        capnp::MallocMessageBuilder message;
        wire::Member::Builder builder = message.initRoot<wire::Member>();
        writeMember(sampleMember(1), builder);
        builder.setState(static_cast<std::uint8_t>(MemberState::Unreachable) + 1);
        EXPECT_EQ(readMember(builder.asReader()).error().m_kind, ErrorKind::InvalidInput);
        writeMember(sampleMember(1), builder);
        builder.setName("");
        EXPECT_EQ(readMember(builder.asReader()).error().m_kind, ErrorKind::InvalidInput);
        writeMember(sampleMember(1), builder);
        builder.setZone(std::string(300, 'z'));
        EXPECT_EQ(readMember(builder.asReader()).error().m_kind, ErrorKind::InvalidInput);
        writeMember(sampleMember(1), builder);
        builder.setPeers(0);
        EXPECT_EQ(readMember(builder.asReader()).error().m_kind, ErrorKind::InvalidInput);
    }

} // namespace
} // namespace cuminrelay
