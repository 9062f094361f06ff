#include "standins/InnerPacket.h"

#include "packets/PacketBuilder.h"
#include "packets/PacketParser.h"

#include <arpa/inet.h>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

namespace cuminrelay::standins {

namespace {

    constexpr std::size_t c_bytesPerWord = 4;

    /// Reads the header at the front of the bytes; nullopt when they are too short.
    template <typename Header> std::optional<Header> headerOf(std::span<const std::byte> bytes)
    {
        if (bytes.size() < sizeof(Header))
            return std::nullopt;
        Header header {};
        std::memcpy(&header, bytes.data(), sizeof header);
        return header;
    }

    std::string textOf(std::span<const std::byte> bytes)
    {
        std::string text(bytes.size(), '\0');
        std::memcpy(text.data(), bytes.data(), bytes.size());
        return text;
    }

    bool hasValidChecksum(const iphdr& ip, std::span<const std::byte> transport)
    {
        const std::uint32_t source = ntohl(ip.saddr);
        const std::uint32_t destination = ntohl(ip.daddr);
        const std::uint32_t pseudoHeader = (source >> 16) + (source & 0xffff) + (destination >> 16)
            + (destination & 0xffff) + ip.protocol + static_cast<std::uint32_t>(transport.size());
        return internetChecksum(transport, pseudoHeader) == 0;
    }

    std::optional<InnerPacket> decodeTcp(const iphdr& ip, std::span<const std::byte> transport)
    {
        const std::optional<tcphdr> tcp = headerOf<tcphdr>(transport);
        if (!tcp || !hasValidChecksum(ip, transport))
            return std::nullopt;
        const std::size_t headerBytes = tcp->th_off * c_bytesPerWord;
        if (headerBytes < sizeof(tcphdr) || headerBytes > transport.size())
            return std::nullopt;
        InnerPacket packet;
        packet.m_source = { ntohl(ip.saddr), ntohs(tcp->th_sport) };
        packet.m_destination = { ntohl(ip.daddr), ntohs(tcp->th_dport) };
        packet.m_segment.m_sequence = ntohl(tcp->th_seq);
        packet.m_segment.m_acknowledgment = ntohl(tcp->th_ack);
        packet.m_segment.m_syn = (tcp->th_flags & TH_SYN) != 0;
        packet.m_segment.m_ack = (tcp->th_flags & TH_ACK) != 0;
        packet.m_segment.m_fin = (tcp->th_flags & TH_FIN) != 0;
        packet.m_segment.m_reset = (tcp->th_flags & TH_RST) != 0;
        packet.m_segment.m_payload = textOf(transport.subspan(headerBytes));
        return packet;
    }

    std::optional<InnerPacket> decodeUdp(const iphdr& ip, std::span<const std::byte> transport)
    {
        const std::optional<udphdr> udp = headerOf<udphdr>(transport);
        if (!udp || ntohs(udp->uh_ulen) != transport.size() || !hasValidChecksum(ip, transport))
            return std::nullopt;
        InnerPacket packet;
        packet.m_kind = InnerKind::Udp;
        packet.m_source = { ntohl(ip.saddr), ntohs(udp->uh_sport) };
        packet.m_destination = { ntohl(ip.daddr), ntohs(udp->uh_dport) };
        packet.m_payload = textOf(transport.subspan(sizeof(udphdr)));
        return packet;
    }

    std::optional<InnerPacket> decodeUnreachable(std::span<const std::byte> message)
    {
        const std::optional<icmphdr> icmp = headerOf<icmphdr>(message);
        if (!icmp || icmp->type != ICMP_UNREACH || internetChecksum(message) != 0)
            return std::nullopt;
        const std::span<const std::byte> quoted = message.subspan(sizeof(icmphdr));
        const std::optional<iphdr> ip = headerOf<iphdr>(quoted);
        if (!ip || ip->protocol != IPPROTO_UDP || ip->ihl * c_bytesPerWord != sizeof(iphdr))
            return std::nullopt;
        const std::optional<udphdr> udp = headerOf<udphdr>(quoted.subspan(sizeof(iphdr)));
        if (!udp)
            return std::nullopt;
        InnerPacket packet;
        packet.m_kind = InnerKind::Unreachable;
        packet.m_source = { ntohl(ip->saddr), ntohs(udp->uh_sport) };
        packet.m_destination = { ntohl(ip->daddr), ntohs(udp->uh_dport) };
        return packet;
    }

    std::uint8_t flagsOf(const Segment& segment)
    {
        unsigned flags = 0;
        flags |= segment.m_syn ? TH_SYN : 0U;
        flags |= segment.m_ack ? TH_ACK : 0U;
        flags |= segment.m_fin ? TH_FIN : 0U;
        flags |= segment.m_reset ? TH_RST : 0U;
        return static_cast<std::uint8_t>(flags);
    }

} // namespace

std::optional<InnerPacket> decodeInnerPacket(std::span<const std::byte> packet)
{
    const std::optional<iphdr> ip = headerOf<iphdr>(packet);
    if (!ip || ip->version != IPVERSION || ntohs(ip->tot_len) != packet.size())
        return std::nullopt;
    const std::size_t headerBytes = ip->ihl * c_bytesPerWord;
    if (headerBytes < sizeof(iphdr) || headerBytes > packet.size())
        return std::nullopt;
    if (internetChecksum(packet.first(headerBytes)) != 0)
        return std::nullopt;
    const std::span<const std::byte> transport = packet.subspan(headerBytes);
    switch (ip->protocol) {
    case IPPROTO_TCP:
        return decodeTcp(*ip, transport);
    case IPPROTO_UDP:
        return decodeUdp(*ip, transport);
    case IPPROTO_ICMP:
        return decodeUnreachable(transport);
    default:
        return std::nullopt;
    }
}

std::span<std::byte> encodeSegment(
    Endpoint source, Endpoint destination, const Segment& segment, std::span<std::byte> out)
{
    TcpSegment built;
    built.m_source = source;
    built.m_destination = destination;
    built.m_sequence = segment.m_sequence;
    built.m_acknowledgment = segment.m_acknowledgment;
    built.m_flags = flagsOf(segment);
    built.m_payload = std::as_bytes(std::span { segment.m_payload });
    return buildTcpPacket(built, out);
}

std::span<std::byte> encodeDatagram(
    Endpoint source, Endpoint destination, std::string_view payload, std::span<std::byte> out)
{
    return buildUdpPacket({ source, destination, std::as_bytes(std::span { payload }) }, out);
}

} // namespace cuminrelay::standins
