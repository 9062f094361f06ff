#include "objectapi/VmList.h"

#include "settings/JsonFields.h"
#include "settings/JsonOutline.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::string_view c_location = "/v1/vms";

    Outcome<Member> parseMember(const boost::json::value& value)
    {
        JsonFields fields { value, c_location, JsonFields::UnknownMembers::Ignore };
        Member member;
        member.m_name = fields.requiredText("name");
        member.m_zone = fields.requiredText("zone");
        member.m_peers = fields.requiredEndpoint("peers");
        member.m_replica = fields.requiredEndpoint("replica");
        member.m_control = fields.requiredEndpoint("control");
        const std::string state = fields.requiredText("state");
        if (state == "leaving")
            member.m_state = MemberState::Leaving;
        else if (state != "active")
            fields.fail("state", fmt::format("found \"{}\"; allowed: active, leaving", state));
        if (const Outcome<void> finished = fields.finish(); !finished)
            return finished.error();
        return member;
    }

} // namespace

Outcome<VmList> parseVmList(std::string_view text)
{
    const Outcome<std::vector<std::string_view>> entries = splitJsonArray(text);
    if (!entries)
        return Error { ErrorKind::InvalidInput, fmt::format("{}: {}", c_location, entries.error().m_message) };
    VmList list;
    for (const std::string_view entry : entries.value()) {
        const Outcome<boost::json::value> value = parseJsonValue(entry);
        Outcome<Member> member = value ? parseMember(value.value()) : Outcome<Member> { value.error() };
        if (member)
            list.m_members.push_back(std::move(member.value()));
        else
            ++list.m_malformed;
    }
    std::ranges::sort(list.m_members, {}, &Member::m_peers);
    return list;
}

} // namespace cuminrelay
