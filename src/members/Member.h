#pragma once

#include "base/Endpoint.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cuminrelay {

enum class MemberState : std::uint8_t {
    Active, ///< owns flows
    Joining, ///< runs, and owns nothing yet: its entry process has no settled view of the members
    Leaving, ///< takes no new flow, hands over what it holds, still answers for what it was asked
    Unreachable, ///< listed by the platform, but not heard of by this VM: dead, paused or beyond a cut
};

/// One entry VM as another sees it. Identified by m_peers; m_incarnation tells a restarted process, which has lost its
/// state, from the one before.
struct Member {
    Endpoint m_peers; ///< where other entry VMs send packets that they hand over
    Endpoint m_replica; ///< the entry process's Cap'n Proto RPC endpoint for flow replicas
    Endpoint m_control; ///< the control process's Cap'n Proto RPC endpoint
    std::string m_name;
    std::string m_zone;
    std::uint64_t m_incarnation = 0;
    MemberState m_state = MemberState::Active;

    friend bool operator==(const Member&, const Member&) = default;
};

/// The entry VMs that this one believes in, itself included, sorted by m_peers. Views may differ between VMs; m_epoch
/// only orders the views of one VM.
struct MemberView {
    std::uint64_t m_epoch = 0;
    std::vector<Member> m_members;
};

/// The member of that name, or nullptr. O(members).
inline const Member* findMember(std::span<const Member> members, Endpoint peers)
{
    const auto found = std::ranges::find(members, peers, &Member::m_peers);
    return found == members.end() ? nullptr : std::to_address(found);
}

} // namespace cuminrelay
