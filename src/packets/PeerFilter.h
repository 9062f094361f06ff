#pragma once

#include "base/Endpoint.h"
#include "members/Member.h"

#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <span>

namespace cuminrelay {

/// Accepts the entry VMs of the current and the previous view, because a peer may be one view behind.
class PeerFilter {
public:
    /// Installs a view. A view with the same members as the current one has no effect.
    void install(std::span<const Member> members);

    /// Whether a member sends its peer packets from this endpoint.
    bool containsPeer(Endpoint peer) const;

    /// Whether a member has this address, on any port.
    bool containsAddress(std::uint32_t address) const;

private:
    struct View {
        boost::unordered_flat_set<std::uint64_t> m_peers;
        boost::unordered_flat_set<std::uint32_t> m_addresses;
    };

    View m_current;
    View m_previous;
};

} // namespace cuminrelay
