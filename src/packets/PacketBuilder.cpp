#include "packets/PacketBuilder.h"

#include "packets/PacketParser.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_bytesPerWord = 4;
    constexpr std::size_t c_quotedTransportBytes = 8; // quoted after the IP header (RFC 792)

    static_assert(c_tcpPacketHeaderBytes == sizeof(iphdr) + sizeof(tcphdr));
    static_assert(c_udpPacketHeaderBytes == sizeof(iphdr) + sizeof(udphdr));

    template <typename Header> void writeHeader(const Header& header, std::span<std::byte> out)
    {
        std::memcpy(out.data(), &header, sizeof header);
    }

    /// Writes the IPv4 header to the start of out. Precondition: out is as long as the complete packet.
    void writeIpHeader(std::uint32_t source, std::uint32_t destination, std::uint8_t protocol, std::span<std::byte> out)
    {
        iphdr header {};
        header.version = IPVERSION;
        header.ihl = sizeof(iphdr) / c_bytesPerWord;
        header.tot_len = htons(static_cast<std::uint16_t>(out.size()));
        header.frag_off = htons(IP_DF);
        header.ttl = IPDEFTTL;
        header.protocol = protocol;
        header.saddr = htonl(source);
        header.daddr = htonl(destination);
        writeHeader(header, out);
        header.check = htons(internetChecksum(out.first(sizeof header)));
        writeHeader(header, out);
    }

    std::uint32_t pseudoHeaderSum(
        std::uint32_t source, std::uint32_t destination, std::uint8_t protocol, std::size_t transportBytes)
    {
        return (source >> 16) + (source & 0xffff) + (destination >> 16) + (destination & 0xffff) + protocol
            + static_cast<std::uint32_t>(transportBytes);
    }

    /// The first packetBytes of out; empty if the packet does not fit.
    std::span<std::byte> packetRange(std::size_t packetBytes, std::span<std::byte> out)
    {
        return packetBytes > out.size() || packetBytes > IP_MAXPACKET ? std::span<std::byte> {}
                                                                      : out.first(packetBytes);
    }

    void copyPayload(std::span<const std::byte> payload, std::span<std::byte> out)
    {
        std::copy(payload.begin(), payload.end(), out.begin());
    }

} // namespace

std::span<std::byte> buildTcpPacket(const TcpSegment& segment, std::span<std::byte> out)
{
    const std::span<std::byte> packet = packetRange(c_tcpPacketHeaderBytes + segment.m_payload.size(), out);
    if (packet.empty())
        return {};
    const std::uint32_t source = segment.m_source.m_address;
    const std::uint32_t destination = segment.m_destination.m_address;
    writeIpHeader(source, destination, IPPROTO_TCP, packet);

    const std::span<std::byte> transport = packet.subspan(sizeof(iphdr));
    copyPayload(segment.m_payload, transport.subspan(sizeof(tcphdr)));
    tcphdr header {};
    header.th_sport = htons(segment.m_source.m_port);
    header.th_dport = htons(segment.m_destination.m_port);
    header.th_seq = htonl(segment.m_sequence);
    header.th_ack = htonl(segment.m_acknowledgment);
    header.th_off = sizeof(tcphdr) / c_bytesPerWord;
    header.th_flags = segment.m_flags;
    header.th_win = htons(segment.m_window);
    writeHeader(header, transport);
    const std::uint32_t pseudoSum = pseudoHeaderSum(source, destination, IPPROTO_TCP, transport.size());
    header.th_sum = htons(internetChecksum(transport, pseudoSum));
    writeHeader(header, transport);
    return packet;
}

std::span<std::byte> buildUdpPacket(const UdpDatagram& datagram, std::span<std::byte> out)
{
    const std::span<std::byte> packet = packetRange(c_udpPacketHeaderBytes + datagram.m_payload.size(), out);
    if (packet.empty())
        return {};
    const std::uint32_t source = datagram.m_source.m_address;
    const std::uint32_t destination = datagram.m_destination.m_address;
    writeIpHeader(source, destination, IPPROTO_UDP, packet);

    const std::span<std::byte> transport = packet.subspan(sizeof(iphdr));
    copyPayload(datagram.m_payload, transport.subspan(sizeof(udphdr)));
    udphdr header {};
    header.uh_sport = htons(datagram.m_source.m_port);
    header.uh_dport = htons(datagram.m_destination.m_port);
    header.uh_ulen = htons(static_cast<std::uint16_t>(transport.size()));
    writeHeader(header, transport);
    const std::uint32_t pseudoSum = pseudoHeaderSum(source, destination, IPPROTO_UDP, transport.size());
    const std::uint16_t checksum = internetChecksum(transport, pseudoSum);
    header.uh_sum = htons(checksum == 0 ? 0xffff : checksum); // zero means no checksum
    writeHeader(header, transport);
    return packet;
}

std::span<std::byte> buildReset(std::span<const std::byte> packet, std::span<std::byte> out)
{
    const ParsedPacket parsed = parsePacket(packet);
    if (!parsed || parsed.value().m_flow.m_protocol != Protocol::Tcp || parsed.value().m_kind == PacketKind::Reset)
        return {};
    const PacketSummary& caller = parsed.value();
    TcpSegment reset;
    reset.m_source = caller.m_flow.m_service;
    reset.m_destination = caller.m_flow.m_caller;
    reset.m_window = 0;
    if (caller.m_kind == PacketKind::Opening) {
        reset.m_flags = TH_RST | TH_ACK;
        reset.m_acknowledgment = caller.m_sequence + caller.m_payloadBytes + 1; // the SYN counts as one byte
    } else {
        reset.m_flags = TH_RST;
        reset.m_sequence = caller.m_acknowledgment;
    }
    return buildTcpPacket(reset, out);
}

std::span<std::byte> buildUnreachable(std::span<const std::byte> packet, UnreachableCode code, std::span<std::byte> out)
{
    const ParsedPacket parsed = parsePacket(packet);
    if (!parsed || parsed.value().m_flow.m_protocol != Protocol::Udp)
        return {};
    iphdr quotedHeader;
    std::memcpy(&quotedHeader, packet.data(), sizeof quotedHeader);
    const std::size_t quotedBytes = std::min(packet.size(), quotedHeader.ihl * c_bytesPerWord + c_quotedTransportBytes);
    const std::span<std::byte> answer = packetRange(sizeof(iphdr) + sizeof(icmphdr) + quotedBytes, out);
    if (answer.empty())
        return {};
    const FlowKey& flow = parsed.value().m_flow;
    writeIpHeader(flow.m_service.m_address, flow.m_caller.m_address, IPPROTO_ICMP, answer);

    const std::span<std::byte> message = answer.subspan(sizeof(iphdr));
    copyPayload(packet.first(quotedBytes), message.subspan(sizeof(icmphdr)));
    icmphdr header {};
    header.type = ICMP_DEST_UNREACH;
    header.code = static_cast<std::uint8_t>(code);
    writeHeader(header, message);
    header.checksum = htons(internetChecksum(message));
    writeHeader(header, message);
    return answer;
}

} // namespace cuminrelay
