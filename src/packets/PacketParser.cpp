#include "packets/PacketParser.h"

#include <arpa/inet.h>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_bytesPerWord = 4;
    constexpr std::uint8_t c_flagsOfInterest = TH_FIN | TH_SYN | TH_RST | TH_ACK;

    /// Copies a header from unaligned bytes. Precondition: bytes is at least as long as the header.
    template <typename Header> Header readHeader(std::span<const std::byte> bytes)
    {
        Header header;
        std::memcpy(&header, bytes.data(), sizeof header);
        return header;
    }

    bool isUnicast(std::uint32_t address)
    {
        return address != INADDR_ANY && address != INADDR_BROADCAST && !IN_MULTICAST(address);
    }

    boost::outcome_v2::basic_result<PacketKind, Reason, boost::outcome_v2::policy::all_narrow> kindOfFlags(
        std::uint8_t flags)
    {
        switch (flags & c_flagsOfInterest) {
        case TH_SYN:
            return PacketKind::Opening;
        case TH_ACK:
            return PacketKind::Midstream;
        case TH_FIN | TH_ACK:
            return PacketKind::HalfClose;
        case TH_RST:
        case TH_RST | TH_ACK:
            return PacketKind::Reset;
        default:
            return Reason::Malformed;
        }
    }

    ParsedPacket parseTcp(PacketSummary summary, std::span<const std::byte> segment)
    {
        if (segment.size() < sizeof(tcphdr))
            return Reason::Truncated;
        const tcphdr header = readHeader<tcphdr>(segment);
        const std::size_t headerBytes = header.th_off * c_bytesPerWord;
        if (headerBytes < sizeof(tcphdr) || headerBytes > segment.size())
            return Reason::Malformed;
        const auto kind = kindOfFlags(header.th_flags);
        if (!kind)
            return kind.error();
        summary.m_kind = kind.value();
        summary.m_flow.m_protocol = Protocol::Tcp;
        summary.m_flow.m_caller.m_port = ntohs(header.th_sport);
        summary.m_flow.m_service.m_port = ntohs(header.th_dport);
        summary.m_sequence = ntohl(header.th_seq);
        summary.m_acknowledgment = ntohl(header.th_ack);
        summary.m_payloadBytes = static_cast<std::uint16_t>(segment.size() - headerBytes);
        return summary;
    }

    ParsedPacket parseUdp(PacketSummary summary, std::span<const std::byte> datagram)
    {
        if (datagram.size() < sizeof(udphdr))
            return Reason::Truncated;
        const udphdr header = readHeader<udphdr>(datagram);
        if (ntohs(header.uh_ulen) != datagram.size())
            return Reason::Malformed;
        summary.m_kind = PacketKind::Datagram;
        summary.m_flow.m_protocol = Protocol::Udp;
        summary.m_flow.m_caller.m_port = ntohs(header.uh_sport);
        summary.m_flow.m_service.m_port = ntohs(header.uh_dport);
        summary.m_payloadBytes = static_cast<std::uint16_t>(datagram.size() - sizeof(udphdr));
        return summary;
    }

    ParsedPacket parseTransport(
        const PacketSummary& summary, std::uint8_t protocol, std::span<const std::byte> transport)
    {
        switch (protocol) {
        case IPPROTO_TCP:
            return parseTcp(summary, transport);
        case IPPROTO_UDP:
            return parseUdp(summary, transport);
        default:
            return Reason::UnsupportedProtocol;
        }
    }

} // namespace

std::uint16_t internetChecksum(std::span<const std::byte> bytes, std::uint32_t partialSum)
{
    std::uint64_t sum = partialSum;
    while (bytes.size() >= 2) {
        sum += (std::to_integer<std::uint32_t>(bytes[0]) << 8) | std::to_integer<std::uint32_t>(bytes[1]);
        bytes = bytes.subspan(2);
    }
    if (!bytes.empty())
        sum += std::to_integer<std::uint32_t>(bytes[0]) << 8;
    while (sum > 0xffff)
        sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum);
}

ParsedPacket parsePacket(std::span<const std::byte> packet)
{
    if (packet.size() < sizeof(iphdr))
        return Reason::Truncated;
    const iphdr header = readHeader<iphdr>(packet);
    if (header.version != IPVERSION)
        return Reason::UnsupportedProtocol;
    const std::size_t headerBytes = header.ihl * c_bytesPerWord;
    const std::size_t totalBytes = ntohs(header.tot_len);
    if (headerBytes < sizeof(iphdr) || totalBytes < headerBytes || totalBytes < packet.size())
        return Reason::Malformed;
    if (totalBytes > packet.size())
        return Reason::Truncated;
    if (internetChecksum(packet.first(headerBytes)) != 0)
        return Reason::Malformed;
    if ((ntohs(header.frag_off) & (IP_MF | IP_OFFMASK)) != 0)
        return Reason::Fragment;

    PacketSummary summary;
    summary.m_flow.m_caller.m_address = ntohl(header.saddr);
    summary.m_flow.m_service.m_address = ntohl(header.daddr);
    if (!isUnicast(summary.m_flow.m_caller.m_address) || !isUnicast(summary.m_flow.m_service.m_address))
        return Reason::Malformed;
    const ParsedPacket parsed = parseTransport(summary, header.protocol, packet.subspan(headerBytes));
    if (parsed && (parsed.value().m_flow.m_caller.m_port == 0 || parsed.value().m_flow.m_service.m_port == 0))
        return Reason::Malformed;
    return parsed;
}

} // namespace cuminrelay
