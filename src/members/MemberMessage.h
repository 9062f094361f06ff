#pragma once

#include "base/Error.h"
#include "members/Member.h"
#include "members/Members.capnp.h"

#include <span>
#include <vector>

namespace cuminrelay {

/// Maximum number of members in one message; a message with more is malformed.
inline constexpr std::size_t c_maximumMembersInMessage = 4096;

void writeMember(const Member& member, wire::Member::Builder out);

/// Errors: InvalidInput for an unsupported state, an empty or overlong name or zone, or no m_peers.
Outcome<Member> readMember(wire::Member::Reader in);

/// `out` must have been initialised with the number of members.
void writeMembers(std::span<const Member> members, capnp::List<wire::Member>::Builder out);

/// Errors: as readMember for the first malformed one; InvalidInput for too many.
Outcome<std::vector<Member>> readMembers(capnp::List<wire::Member>::Reader in);

} // namespace cuminrelay
