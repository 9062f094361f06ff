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
    Joining, ///< running, but owns no flows until its view of the members has converged
    Leaving, ///< accepts no new flows, hands over its flows, still answers pending requests
    Unreachable, ///< listed by the platform, but no heartbeats arrive: failed, paused or partitioned
};

/// An entry VM, identified by m_peers. m_incarnation distinguishes a restarted process, which has lost its state, from
/// the previous one.
struct Member {
    Endpoint m_peers; ///< receives packets handed over by other entry VMs
    Endpoint m_replica; ///< the entry process's Cap'n Proto RPC endpoint for flow replicas
    Endpoint m_control; ///< the control process's Cap'n Proto RPC endpoint
    std::string m_name;
    std::string m_zone;
    std::uint64_t m_incarnation = 0;
    MemberState m_state = MemberState::Active;

    friend bool operator==(const Member&, const Member&) = default;
};

/// The entry VMs in this VM's view, itself included, sorted by m_peers. Views may differ between VMs; m_epoch orders
/// only the views of one VM.
struct MemberView {
    std::uint64_t m_epoch = 0;
    std::vector<Member> m_members;
};

/// The member with this m_peers endpoint, or nullptr. O(members).
inline const Member* findMember(std::span<const Member> members, Endpoint peers)
{
    const auto found = std::ranges::find(members, peers, &Member::m_peers);
    return found == members.end() ? nullptr : std::to_address(found);
}

} // namespace cuminrelay
