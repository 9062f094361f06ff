#pragma once

#include "base/Error.h"
#include "members/Member.h"
#include "members/Members.capnp.h"

#include <span>
#include <vector>

namespace cuminrelay {

/// The most members that one message may carry; more is taken as malformed.
inline constexpr std::size_t c_maximumMembersInMessage = 4096;

/// Writes a member as Cap'n Proto.
void writeMember(const Member& member, wire::Member::Builder out);

/// Reads a member. Errors: InvalidInput for a state that this version does not know, no name, no zone, or no endpoint.
Outcome<Member> readMember(wire::Member::Reader in);

/// Writes as many members as the list was initialised for; both must have the same size.
void writeMembers(std::span<const Member> members, capnp::List<wire::Member>::Builder out);

/// Reads a list of members. Errors: as readMember for the first bad one; InvalidInput for too many.
Outcome<std::vector<Member>> readMembers(capnp::List<wire::Member>::Reader in);

} // namespace cuminrelay
