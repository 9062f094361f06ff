#include "packets/PacketBuilder.h"

#include "packets/PacketParser.h"

#include <array>
#include <cstring>
#include <gtest/gtest.h>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <string_view>
#include <vector>

namespace cuminrelay {
namespace {

    constexpr Endpoint c_caller { 0x0a000001, 40000 };
    constexpr Endpoint c_service { 0x0a640001, 443 };

    using Buffer = std::array<std::byte, 256>;

    std::span<const std::byte> bytesOf(std::string_view text)
    {
        return std::as_bytes(std::span { text });
    }

    /// The pseudo header's sum, computed independently of the builder.
    std::uint32_t pseudoSum(std::span<const std::byte> packet, std::uint8_t protocol)
    {
        const std::uint16_t addresses = internetChecksum(packet.subspan(12, 8));
        return static_cast<std::uint16_t>(~addresses) + protocol + static_cast<std::uint32_t>(packet.size() - 20);
    }

    template <typename Header> Header headerAt(std::span<const std::byte> packet, std::size_t offset)
    {
        Header header;
        std::memcpy(&header, packet.data() + offset, sizeof header);
        return header;
    }

    TEST(PacketBuilder, checksumsAreValid)
    {
        Buffer buffer;
        for (const std::string_view payload : { "", "a", "survey packet" }) {
            const std::span<std::byte> tcp
                = buildTcpPacket({ c_caller, c_service, 7, 9, TH_ACK, 512, bytesOf(payload) }, buffer);
            EXPECT_EQ(internetChecksum(tcp.first(20)), 0);
            EXPECT_EQ(internetChecksum(tcp.subspan(20), pseudoSum(tcp, IPPROTO_TCP)), 0);
            const std::span<std::byte> udp = buildUdpPacket({ c_caller, c_service, bytesOf(payload) }, buffer);
            EXPECT_EQ(internetChecksum(udp.first(20)), 0);
            EXPECT_EQ(internetChecksum(udp.subspan(20), pseudoSum(udp, IPPROTO_UDP)), 0);
        }
    }

    TEST(PacketBuilder, smallBufferGivesAnEmptyResult)
    {
        std::array<std::byte, c_tcpPacketHeaderBytes - 1> buffer;
        EXPECT_TRUE(buildTcpPacket({ c_caller, c_service, 0, 0, TH_SYN, 0, {} }, buffer).empty());
        EXPECT_TRUE(buildUdpPacket({ c_caller, c_service, bytesOf("twelve bytes") }, buffer).empty());
        std::vector<std::byte> huge(70'000);
        std::vector<std::byte> out(80'000);
        EXPECT_TRUE(buildUdpPacket({ c_caller, c_service, huge }, out).empty());
    }

    TEST(PacketBuilder, resetOfOpeningAcknowledgesIt)
    {
        Buffer buffer;
        Buffer answerBuffer;
        const std::span<std::byte> opening
            = buildTcpPacket({ c_caller, c_service, 0xffffffff, 0, TH_SYN, 512, {} }, buffer);
        const std::span<std::byte> reset = buildReset(opening, answerBuffer);
        ASSERT_EQ(reset.size(), c_tcpPacketHeaderBytes);
        EXPECT_EQ(internetChecksum(reset.subspan(20), pseudoSum(reset, IPPROTO_TCP)), 0);
        const tcphdr header = headerAt<tcphdr>(reset, 20);
        EXPECT_EQ(header.th_flags, TH_RST | TH_ACK);
        EXPECT_EQ(ntohl(header.th_seq), 0U);
        EXPECT_EQ(ntohl(header.th_ack), 0U); // the SYN's sequence number plus one, which wraps
        EXPECT_EQ(ntohs(header.th_sport), c_service.m_port);
        EXPECT_EQ(ntohs(header.th_dport), c_caller.m_port);
        EXPECT_EQ(ntohl(headerAt<iphdr>(reset, 0).saddr), c_service.m_address);
        EXPECT_EQ(ntohl(headerAt<iphdr>(reset, 0).daddr), c_caller.m_address);
    }

    TEST(PacketBuilder, resetOfMidstreamTakesItsAcknowledgmentAsSequence)
    {
        Buffer buffer;
        Buffer answerBuffer;
        for (const int flags : { TH_ACK, TH_ACK | TH_FIN }) {
            const std::span<std::byte> packet = buildTcpPacket(
                { c_caller, c_service, 5, 77, static_cast<std::uint8_t>(flags), 512, bytesOf("x") }, buffer);
            const tcphdr header = headerAt<tcphdr>(buildReset(packet, answerBuffer), 20);
            EXPECT_EQ(header.th_flags, TH_RST);
            EXPECT_EQ(ntohl(header.th_seq), 77U);
            EXPECT_EQ(ntohl(header.th_ack), 0U);
        }
    }

    TEST(PacketBuilder, resetsAndOtherPacketsGetNoReset)
    {
        Buffer buffer;
        Buffer answerBuffer;
        EXPECT_TRUE(
            buildReset(buildTcpPacket({ c_caller, c_service, 5, 77, TH_RST, 0, {} }, buffer), answerBuffer).empty());
        EXPECT_TRUE(buildReset(buildUdpPacket({ c_caller, c_service, {} }, buffer), answerBuffer).empty());
        EXPECT_TRUE(buildReset(bytesOf("no packet"), answerBuffer).empty());
    }

    TEST(PacketBuilder, unreachableQuotesTheDatagram)
    {
        Buffer buffer;
        std::array<std::byte, c_maximumAnswerBytes> answerBuffer;
        const std::span<std::byte> datagram = buildUdpPacket({ c_caller, c_service, bytesOf("payload") }, buffer);
        const std::span<std::byte> answer
            = buildUnreachable(datagram, UnreachableCode::AdministrativelyProhibited, answerBuffer);
        ASSERT_EQ(answer.size(), 20U + 8U + 28U);
        EXPECT_EQ(internetChecksum(answer.first(20)), 0);
        EXPECT_EQ(internetChecksum(answer.subspan(20)), 0);
        EXPECT_EQ(headerAt<iphdr>(answer, 0).protocol, IPPROTO_ICMP);
        EXPECT_EQ(ntohl(headerAt<iphdr>(answer, 0).daddr), c_caller.m_address);
        EXPECT_EQ(headerAt<icmphdr>(answer, 20).type, ICMP_DEST_UNREACH);
        EXPECT_EQ(headerAt<icmphdr>(answer, 20).code, ICMP_PKT_FILTERED);
        EXPECT_TRUE(std::equal(datagram.begin(), datagram.begin() + 28, answer.begin() + 28));
    }

    TEST(PacketBuilder, segmentsGetNoUnreachable)
    {
        Buffer buffer;
        Buffer answerBuffer;
        const std::span<std::byte> segment = buildTcpPacket({ c_caller, c_service, 5, 0, TH_SYN, 0, {} }, buffer);
        EXPECT_TRUE(buildUnreachable(segment, UnreachableCode::Port, answerBuffer).empty());
    }

} // namespace
} // namespace cuminrelay
