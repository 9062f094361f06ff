#include "packets/PeerFilter.h"

#include <utility>

namespace cuminrelay {

void PeerFilter::install(std::span<const Member> members)
{
    View next;
    for (const Member& member : members) {
        next.m_peers.insert(member.m_peers.packed());
        next.m_addresses.insert(member.m_peers.m_address);
        next.m_addresses.insert(member.m_replica.m_address);
    }
    if (next.m_peers == m_current.m_peers && next.m_addresses == m_current.m_addresses)
        return;
    m_previous = std::exchange(m_current, std::move(next));
}

bool PeerFilter::containsPeer(Endpoint peer) const
{
    return m_current.m_peers.contains(peer.packed()) || m_previous.m_peers.contains(peer.packed());
}

bool PeerFilter::containsAddress(std::uint32_t address) const
{
    return m_current.m_addresses.contains(address) || m_previous.m_addresses.contains(address);
}

} // namespace cuminrelay
