#include "packets/PacketParser.h"

#include "packets/PacketBuilder.h"

#include <array>
#include <cstring>
#include <gtest/gtest.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    constexpr Endpoint c_caller { 0x0a000001, 40000 };
    constexpr Endpoint c_service { 0x0a640001, 443 };
    constexpr std::size_t c_bufferBytes = 2048;

    using Bytes = std::vector<std::byte>;

    Bytes tcpPacket(std::uint8_t flags, std::size_t payloadBytes = 0)
    {
        const Bytes payload(payloadBytes, std::byte { 0x5a });
        Bytes out(c_bufferBytes);
        const TcpSegment segment { c_caller, c_service, 1000, 2000, flags, 0xffff, payload };
        out.resize(buildTcpPacket(segment, out).size());
        return out;
    }

    Bytes udpPacket(std::size_t payloadBytes)
    {
        const Bytes payload(payloadBytes, std::byte { 0x5a });
        Bytes out(c_bufferBytes);
        out.resize(buildUdpPacket({ c_caller, c_service, payload }, out).size());
        return out;
    }

    /// Changes the IPv4 header and updates its checksum.
    template <typename Change> Bytes withHeader(Bytes packet, Change change)
    {
        iphdr header;
        std::memcpy(&header, packet.data(), sizeof header);
        change(header);
        header.check = 0;
        std::memcpy(packet.data(), &header, sizeof header);
        header.check = htons(internetChecksum(std::span<const std::byte> { packet }.first(sizeof header)));
        std::memcpy(packet.data(), &header, sizeof header);
        return packet;
    }

    Reason reasonOf(const Bytes& packet)
    {
        const ParsedPacket parsed = parsePacket(packet);
        return parsed ? Reason::None : parsed.error();
    }

    TEST(PacketParser, tcpPacketIsSummarised)
    {
        const ParsedPacket parsed = parsePacket(tcpPacket(TH_ACK | TH_PUSH, 17));
        ASSERT_TRUE(parsed.has_value());
        const PacketSummary& summary = parsed.value();
        EXPECT_EQ(summary.m_flow, (FlowKey { c_caller, c_service, Protocol::Tcp }));
        EXPECT_EQ(summary.m_kind, PacketKind::Midstream);
        EXPECT_EQ(summary.m_arrival, Arrival::Fabric);
        EXPECT_EQ(summary.m_hops, 0);
        EXPECT_EQ(summary.m_payloadBytes, 17);
        EXPECT_EQ(summary.m_sequence, 1000U);
        EXPECT_EQ(summary.m_acknowledgment, 2000U);
    }

    TEST(PacketParser, udpPacketIsSummarised)
    {
        const ParsedPacket parsed = parsePacket(udpPacket(9));
        ASSERT_TRUE(parsed.has_value());
        EXPECT_EQ(parsed.value().m_flow, (FlowKey { c_caller, c_service, Protocol::Udp }));
        EXPECT_EQ(parsed.value().m_kind, PacketKind::Datagram);
        EXPECT_EQ(parsed.value().m_payloadBytes, 9);
    }

    TEST(PacketParser, tcpFlagsGiveTheKind)
    {
        EXPECT_EQ(parsePacket(tcpPacket(TH_SYN)).value().m_kind, PacketKind::Opening);
        EXPECT_EQ(parsePacket(tcpPacket(TH_ACK)).value().m_kind, PacketKind::Midstream);
        EXPECT_EQ(parsePacket(tcpPacket(TH_FIN | TH_ACK)).value().m_kind, PacketKind::HalfClose);
        EXPECT_EQ(parsePacket(tcpPacket(TH_RST)).value().m_kind, PacketKind::Reset);
        EXPECT_EQ(parsePacket(tcpPacket(TH_RST | TH_ACK)).value().m_kind, PacketKind::Reset);
    }

    TEST(PacketParser, contradictoryTcpFlagsAreMalformed)
    {
        for (const int flags : { 0, TH_FIN, TH_PUSH, TH_SYN | TH_FIN, TH_SYN | TH_RST, TH_SYN | TH_ACK,
                 TH_FIN | TH_RST | TH_ACK, TH_SYN | TH_FIN | TH_RST | TH_ACK })
            EXPECT_EQ(reasonOf(tcpPacket(static_cast<std::uint8_t>(flags))), Reason::Malformed) << flags;
    }

    TEST(PacketParser, eachShorterPacketIsTruncated)
    {
        const Bytes packet = tcpPacket(TH_ACK, 5);
        for (std::size_t size = 0; size < packet.size(); ++size)
            EXPECT_EQ(reasonOf(Bytes(packet.begin(), packet.begin() + size)), Reason::Truncated) << size;
    }

    TEST(PacketParser, trailingBytesAreMalformed)
    {
        Bytes packet = udpPacket(5);
        packet.push_back(std::byte { 0 });
        EXPECT_EQ(reasonOf(packet), Reason::Malformed);
    }

    TEST(PacketParser, fragmentsAreReported)
    {
        EXPECT_EQ(reasonOf(withHeader(udpPacket(5), [](iphdr& header) { header.frag_off = htons(IP_MF); })),
            Reason::Fragment);
        EXPECT_EQ(
            reasonOf(withHeader(udpPacket(5), [](iphdr& header) { header.frag_off = htons(7); })), Reason::Fragment);
    }

    TEST(PacketParser, otherProtocolsAreUnsupported)
    {
        EXPECT_EQ(reasonOf(withHeader(udpPacket(5), [](iphdr& header) { header.protocol = IPPROTO_ICMP; })),
            Reason::UnsupportedProtocol);
        EXPECT_EQ(
            reasonOf(withHeader(udpPacket(5), [](iphdr& header) { header.version = 6; })), Reason::UnsupportedProtocol);
    }

    TEST(PacketParser, wrongHeaderChecksumIsMalformed)
    {
        Bytes packet = udpPacket(5);
        packet[8] ^= std::byte { 1 }; // the time to live
        EXPECT_EQ(reasonOf(packet), Reason::Malformed);
    }

    TEST(PacketParser, nonUnicastAddressesAreMalformed)
    {
        EXPECT_EQ(reasonOf(withHeader(udpPacket(5), [](iphdr& header) { header.saddr = 0; })), Reason::Malformed);
        EXPECT_EQ(reasonOf(withHeader(udpPacket(5), [](iphdr& header) { header.saddr = htonl(0xe0000001); })),
            Reason::Malformed);
        EXPECT_EQ(reasonOf(withHeader(udpPacket(5), [](iphdr& header) { header.daddr = htonl(0xffffffff); })),
            Reason::Malformed);
    }

    TEST(PacketParser, inconsistentLengthsAreMalformed)
    {
        Bytes wrongUdpLength = udpPacket(5);
        wrongUdpLength[25] ^= std::byte { 1 };
        EXPECT_EQ(reasonOf(wrongUdpLength), Reason::Malformed);

        Bytes wrongDataOffset = tcpPacket(TH_ACK);
        wrongDataOffset[32] = std::byte { 0xf0 };
        EXPECT_EQ(reasonOf(wrongDataOffset), Reason::Malformed);
        wrongDataOffset[32] = std::byte { 0x40 };
        EXPECT_EQ(reasonOf(wrongDataOffset), Reason::Malformed);

        EXPECT_EQ(reasonOf(withHeader(udpPacket(5), [](iphdr& header) { header.ihl = 4; })), Reason::Malformed);
    }

    TEST(PacketParser, portZeroIsMalformed)
    {
        Bytes out(c_bufferBytes);
        out.resize(buildUdpPacket({ { c_caller.m_address, 0 }, c_service, {} }, out).size());
        EXPECT_EQ(reasonOf(out), Reason::Malformed);
    }

    /// Checks the parser's guarantees: a payload within the packet, nonzero ports, one of four reasons on failure.
    void checkResult(const ParsedPacket& parsed, std::span<const std::byte> packet)
    {
        if (!parsed) {
            const Reason reason = parsed.error();
            RC_ASSERT(reason == Reason::Malformed || reason == Reason::Truncated || reason == Reason::Fragment
                || reason == Reason::UnsupportedProtocol);
            return;
        }
        RC_ASSERT(packet.size() >= c_udpPacketHeaderBytes);
        RC_ASSERT(parsed.value().m_payloadBytes <= packet.size() - c_udpPacketHeaderBytes);
        RC_ASSERT(parsed.value().m_flow.m_caller.m_port != 0);
        RC_ASSERT(parsed.value().m_flow.m_service.m_port != 0);
    }

    RC_GTEST_PROP(PacketParser, arbitraryBytesNeverCrash, (const std::vector<std::uint8_t>& bytes))
    {
        const std::span<const std::byte> packet = std::as_bytes(std::span { bytes });
        checkResult(parsePacket(packet), packet);
    }

    RC_GTEST_PROP(PacketParser, mutatedPacketsNeverCrash, (bool tcp, bool repairChecksum, std::uint16_t truncation))
    {
        Bytes packet = tcp ? tcpPacket(TH_ACK, *rc::gen::inRange(0, 40)) : udpPacket(*rc::gen::inRange(0, 40));
        const int mutations = *rc::gen::inRange(1, 6);
        for (int i = 0; i < mutations; ++i) {
            const std::size_t at = *rc::gen::inRange<std::size_t>(0, packet.size());
            packet[at] = static_cast<std::byte>(*rc::gen::arbitrary<std::uint8_t>());
        }
        if (repairChecksum)
            packet = withHeader(std::move(packet), [](iphdr&) {});
        if (truncation % 4 == 0)
            packet.resize(truncation % packet.size());
        checkResult(parsePacket(packet), packet);
    }

    RC_GTEST_PROP(PacketParser, builtPacketsParseBack,
        (std::uint32_t callerAddress, std::uint16_t callerPort, std::uint32_t sequence,
            const std::vector<std::uint8_t>& payload))
    {
        RC_PRE(callerPort != 0 && callerAddress != 0 && callerAddress < 0xe0000000);
        const Endpoint caller { callerAddress, callerPort };
        Bytes out(c_bufferBytes);
        RC_PRE(payload.size() + c_tcpPacketHeaderBytes <= out.size());
        const std::span<const std::byte> bytes = std::as_bytes(std::span { payload });
        const ParsedPacket tcp
            = parsePacket(buildTcpPacket({ caller, c_service, sequence, 1, TH_ACK, 100, bytes }, out));
        RC_ASSERT(tcp.has_value());
        RC_ASSERT(tcp.value().m_flow.m_caller == caller);
        RC_ASSERT(tcp.value().m_sequence == sequence);
        RC_ASSERT(tcp.value().m_payloadBytes == payload.size());
        const ParsedPacket udp = parsePacket(buildUdpPacket({ caller, c_service, bytes }, out));
        RC_ASSERT(udp.has_value());
        RC_ASSERT(udp.value().m_payloadBytes == payload.size());
    }

} // namespace
} // namespace cuminrelay
