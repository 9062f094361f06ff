#include "members/MemberMessage.h"

#include "base/Assert.h"

#include <fmt/format.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_maximumNameBytes = 253;

    bool isUsableName(capnp::Text::Reader name)
    {
        return name.size() > 0 && name.size() <= c_maximumNameBytes;
    }

    Error malformed(std::string message)
    {
        return Error { ErrorKind::InvalidInput, std::move(message) };
    }

} // namespace

void writeMember(const Member& member, wire::Member::Builder out)
{
    out.setPeers(member.m_peers.packed());
    out.setReplica(member.m_replica.packed());
    out.setControl(member.m_control.packed());
    out.setName(member.m_name);
    out.setZone(member.m_zone);
    out.setIncarnation(member.m_incarnation);
    out.setState(static_cast<std::uint8_t>(member.m_state));
}

Outcome<Member> readMember(wire::Member::Reader in)
{
    if (in.getState() > static_cast<std::uint8_t>(MemberState::Unreachable))
        return malformed(fmt::format("unknown member state: got {}, expected 0 to 3", in.getState()));
    if (!isUsableName(in.getName()) || !isUsableName(in.getZone()))
        return malformed(fmt::format("member name and zone: expected 1 to {} bytes each", c_maximumNameBytes));
    if (in.getPeers() == 0)
        return malformed("member peers endpoint: got 0, expected an address and port");
    Member member;
    member.m_peers = Endpoint::fromPacked(in.getPeers());
    member.m_replica = Endpoint::fromPacked(in.getReplica());
    member.m_control = Endpoint::fromPacked(in.getControl());
    member.m_name = in.getName();
    member.m_zone = in.getZone();
    member.m_incarnation = in.getIncarnation();
    member.m_state = static_cast<MemberState>(in.getState());
    return member;
}

void writeMembers(std::span<const Member> members, capnp::List<wire::Member>::Builder out)
{
    CR_ASSERT(members.size() == out.size(), "the list must be initialised with the number of members");
    for (unsigned i = 0; i < out.size(); ++i)
        writeMember(members[i], out[i]);
}

Outcome<std::vector<Member>> readMembers(capnp::List<wire::Member>::Reader in)
{
    if (in.size() > c_maximumMembersInMessage)
        return malformed(
            fmt::format("member list: got {} members, expected at most {}", in.size(), c_maximumMembersInMessage));
    std::vector<Member> members;
    members.reserve(in.size());
    for (const wire::Member::Reader entry : in) {
        Outcome<Member> member = readMember(entry);
        if (!member)
            return member.error();
        members.push_back(std::move(member).value());
    }
    return members;
}

} // namespace cuminrelay
