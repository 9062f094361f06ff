#include "standins/InnerPacket.h"

#include "packets/PacketBuilder.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay::standins {
namespace {

    using Buffer = std::array<std::byte, c_maximumInnerBytes>;

    constexpr Endpoint c_caller { 0x0ac80001, 1024 };
    constexpr Endpoint c_service { 0x0a000001, 443 };

    RC_GTEST_PROP(InnerPacket, encodedSegmentDecodesToTheSame,
        (std::uint32_t sequence, std::uint32_t acknowledgment, bool syn, bool ack, bool fin))
    {
        Segment segment { sequence, acknowledgment, syn, ack, fin, false, *rc::gen::arbitrary<std::string>() };
        Buffer buffer;
        const std::optional<InnerPacket> packet
            = decodeInnerPacket(encodeSegment(c_caller, c_service, segment, buffer));
        RC_ASSERT(packet.has_value());
        RC_ASSERT(packet->m_kind == InnerKind::Tcp);
        RC_ASSERT(packet->m_source == c_caller);
        RC_ASSERT(packet->m_destination == c_service);
        RC_ASSERT(packet->m_segment.m_sequence == sequence);
        RC_ASSERT(packet->m_segment.m_acknowledgment == acknowledgment);
        RC_ASSERT(packet->m_segment.m_syn == syn);
        RC_ASSERT(packet->m_segment.m_ack == ack);
        RC_ASSERT(packet->m_segment.m_fin == fin);
        RC_ASSERT(packet->m_segment.m_payload == segment.m_payload);
    }

    RC_GTEST_PROP(InnerPacket, anyFlippedByteIsDropped, (const std::string& payload))
    {
        Buffer buffer;
        const std::span<std::byte> packet = encodeDatagram(c_caller, c_service, payload, buffer);
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, packet.size());
        packet[at] ^= std::byte { 0x10 };
        RC_ASSERT(!decodeInnerPacket(packet).has_value());
    }

    RC_GTEST_PROP(InnerPacket, arbitraryBytesAreDecodedSafely, (std::vector<std::uint8_t> bytes))
    {
        decodeInnerPacket(std::as_bytes(std::span { bytes }));
    }

    TEST(InnerPacket, unreachableQuotesTheRefusedDatagram)
    {
        Buffer buffer;
        Buffer answer;
        const std::span<std::byte> packet = encodeDatagram(c_caller, c_service, "survey", buffer);
        const std::optional<InnerPacket> refusal
            = decodeInnerPacket(buildUnreachable(packet, UnreachableCode::Port, answer));
        ASSERT_TRUE(refusal.has_value());
        EXPECT_EQ(refusal->m_kind, InnerKind::Unreachable);
        EXPECT_EQ(refusal->m_source, c_caller);
        EXPECT_EQ(refusal->m_destination, c_service);
    }

} // namespace
} // namespace cuminrelay::standins
