#include "packets/PeerFrontEnd.h"

#include "packets/PacketParser.h"
#include "packets/PeerPacket.h"

namespace cuminrelay {

PeerFrontEnd::PeerFrontEnd(boost::asio::ip::udp::socket& socket, ActionExecutor& executor, const PeerFilter& filter,
    Metrics& metrics, Log& log)
    : UdpFrontEnd(socket, executor, "peer", metrics, log)
    , m_filter(filter)
{
}

UdpFrontEnd::Unwrapped PeerFrontEnd::unwrap(const Datagram& datagram)
{
    if (!m_filter.containsPeer(datagram.m_source))
        return Reason::NotMember;
    const Outcome<PeerPacket> decoded = decodePeerPacket(datagram.m_bytes);
    if (!decoded)
        return Reason::Malformed;
    const PeerPacket& peerPacket = decoded.value();
    if (peerPacket.m_packet.size() > c_maximumPacketBytes)
        return Reason::Truncated;
    const ParsedPacket parsed = parsePacket(peerPacket.m_packet);
    if (!parsed)
        return parsed.error();
    PacketSummary summary = parsed.value();
    summary.m_arrival = peerPacket.m_arrival;
    summary.m_hops = peerPacket.m_hops;
    summary.m_peer = datagram.m_source;
    summary.m_recordedBackend = peerPacket.m_backend;
    return EncapsulatedPacket { summary, peerPacket.m_packet };
}

} // namespace cuminrelay
