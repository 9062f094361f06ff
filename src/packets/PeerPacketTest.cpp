#include "packets/PeerPacket.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    std::vector<std::byte> encoded(const PeerPacket& packet)
    {
        std::vector<std::byte> out(packet.m_packet.size() + c_peerPacketOverheadBytes, std::byte { 0xff });
        out.resize(encodePeerPacket(packet, out).size());
        return out;
    }

    RC_GTEST_PROP(PeerPacket, encodedPacketDecodesBack,
        (std::uint8_t hops, std::uint32_t address, const std::vector<std::uint8_t>& bytes, bool record))
    {
        PeerPacket packet;
        packet.m_arrival = record ? Arrival::Record : Arrival::ForwardToPreviousOwner;
        packet.m_hops = hops;
        packet.m_backend = record ? Endpoint { address, 6080 } : Endpoint {};
        packet.m_packet = std::as_bytes(std::span { bytes });
        const std::vector<std::byte> datagram = encoded(packet);
        RC_ASSERT(!datagram.empty());
        const Outcome<PeerPacket> decoded = decodePeerPacket(datagram);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value().m_arrival == packet.m_arrival);
        RC_ASSERT(decoded.value().m_hops == hops);
        RC_ASSERT(decoded.value().m_backend == packet.m_backend);
        RC_ASSERT(std::ranges::equal(decoded.value().m_packet, packet.m_packet));
    }

    RC_GTEST_PROP(PeerPacket, arbitraryBytesNeverCrash, (const std::vector<std::uint8_t>& bytes))
    {
        const Outcome<PeerPacket> decoded = decodePeerPacket(std::as_bytes(std::span { bytes }));
        RC_ASSERT(decoded.has_value() || decoded.error().m_kind == ErrorKind::InvalidInput);
    }

    RC_GTEST_PROP(PeerPacket, mutatedMessagesNeverCrash, (const std::vector<std::uint8_t>& bytes))
    {
        std::vector<std::byte> datagram
            = encoded({ Arrival::ForwardToOwner, 1, {}, std::as_bytes(std::span { bytes }) });
        const int mutations = *rc::gen::inRange(1, 5);
        for (int i = 0; i < mutations; ++i) {
            const std::size_t at = *rc::gen::inRange<std::size_t>(0, datagram.size());
            datagram[at] = static_cast<std::byte>(*rc::gen::arbitrary<std::uint8_t>());
        }
        datagram.resize(datagram.size() - *rc::gen::inRange<std::size_t>(0, datagram.size()));
        const Outcome<PeerPacket> decoded = decodePeerPacket(datagram);
        if (decoded)
            RC_ASSERT(decoded.value().m_packet.size() <= datagram.size());
    }

    TEST(PeerPacket, backendIsSetExactlyForRecord)
    {
        EXPECT_FALSE(decodePeerPacket(encoded({ Arrival::Record, 1, {}, {} })).has_value());
        EXPECT_FALSE(decodePeerPacket(encoded({ Arrival::ForwardToOwner, 1, { 1, 2 }, {} })).has_value());
        EXPECT_FALSE(decodePeerPacket(encoded({ Arrival::Fabric, 0, {}, {} })).has_value());
        EXPECT_TRUE(decodePeerPacket(encoded({ Arrival::Record, 1, { 1, 2 }, {} })).has_value());
    }

    TEST(PeerPacket, smallBufferGivesAnEmptyResult)
    {
        const std::vector<std::byte> payload(100);
        std::vector<std::byte> out(120);
        EXPECT_TRUE(encodePeerPacket({ Arrival::ForwardToOwner, 1, {}, payload }, out).empty());
    }

} // namespace
} // namespace cuminrelay
