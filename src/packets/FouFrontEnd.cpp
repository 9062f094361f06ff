#include "packets/FouFrontEnd.h"

#include "packets/PacketParser.h"

namespace cuminrelay {

FouFrontEnd::FouFrontEnd(boost::asio::ip::udp::socket& socket, ActionExecutor& executor,
    std::span<const std::uint32_t> sources, Metrics& metrics, Log& log)
    : UdpFrontEnd(socket, executor, "fabric", metrics, log)
    , m_sources(sources.begin(), sources.end())
{
}

UdpFrontEnd::Unwrapped FouFrontEnd::unwrap(const Datagram& datagram)
{
    if (!m_sources.contains(datagram.m_source.m_address))
        return Reason::NotMember;
    if (datagram.m_bytes.size() > c_maximumPacketBytes)
        return Reason::Truncated;
    const ParsedPacket parsed = parsePacket(datagram.m_bytes);
    if (!parsed)
        return parsed.error();
    return EncapsulatedPacket { parsed.value(), datagram.m_bytes };
}

} // namespace cuminrelay
