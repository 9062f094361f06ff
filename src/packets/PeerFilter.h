#pragma once

#include "base/Endpoint.h"
#include "members/Member.h"

#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <span>

namespace cuminrelay {

/// Who is let in: the entry VMs of the current and of the previous view, so that a peer that is one view behind is
/// still heard.
class PeerFilter {
public:
    /// Takes a view. One with the same members as the current changes nothing.
    void install(std::span<const Member> members);

    /// Whether a member hands packets over from this endpoint.
    bool containsPeer(Endpoint peers) const;

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
