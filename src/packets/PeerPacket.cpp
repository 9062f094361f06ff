#include "packets/PeerPacket.h"

#include "base/Assert.h"
#include "packets/PeerPacket.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstdint>
#include <cstring>
#include <fmt/format.h>
#include <kj/exception.h>

namespace cuminrelay {

namespace {

    constexpr int c_nestingLimit = 4;
    constexpr std::size_t c_tableWords = 1; // for one segment
    constexpr std::size_t c_structWords = 4; // root pointer, two words of values, packet pointer

    /// The framing of a Cap'n Proto message with one segment.
    struct SegmentTable {
        std::uint32_t m_furtherSegments;
        std::uint32_t m_segmentWords;
    };
    static_assert(sizeof(SegmentTable) == c_tableWords * sizeof(capnp::word));

    bool isAligned(const std::byte* bytes)
    {
        return reinterpret_cast<std::uintptr_t>(bytes) % alignof(capnp::word) == 0;
    }

    std::span<const std::byte> asBytes(capnp::Data::Reader data)
    {
        return { reinterpret_cast<const std::byte*>(data.begin()), data.size() };
    }

    Outcome<PeerPacket> readPeerPacket(wire::PeerPacket::Reader reader)
    {
        PeerPacket packet;
        packet.m_arrival = static_cast<Arrival>(reader.getArrival());
        if (packet.m_arrival < Arrival::ForwardToOwner || packet.m_arrival > Arrival::Record)
            return Error { ErrorKind::InvalidInput,
                fmt::format("peer packet: arrival {}; expected 1 to {}", reader.getArrival(),
                    static_cast<int>(Arrival::Record)) };
        packet.m_hops = reader.getHops();
        packet.m_backend = Endpoint::fromPacked(reader.getBackend());
        if ((packet.m_arrival == Arrival::Record) != (packet.m_backend.m_port != 0))
            return Error { ErrorKind::InvalidInput,
                "peer packet: backend server must be set if and only if arrival is Record" };
        packet.m_packet = asBytes(reader.getPacket());
        return packet;
    }

} // namespace

std::span<std::byte> encodePeerPacket(const PeerPacket& packet, std::span<std::byte> out)
{
    CR_ASSERT(isAligned(out.data()), "encodePeerPacket needs an aligned buffer");
    const std::size_t dataWords = (packet.m_packet.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word);
    const std::size_t segmentWords = c_structWords + dataWords;
    const std::size_t messageBytes = (c_tableWords + segmentWords) * sizeof(capnp::word);
    if (messageBytes > out.size())
        return {};
    std::memset(out.data(), 0, messageBytes); // Cap'n Proto requires a zeroed buffer
    const SegmentTable table { 0, static_cast<std::uint32_t>(segmentWords) };
    std::memcpy(out.data(), &table, sizeof table);

    // The size is computed exactly, so that the message is built in the send buffer without a copy.
    capnp::FlatMessageBuilder message { { reinterpret_cast<capnp::word*>(out.data()) + c_tableWords, segmentWords } };
    wire::PeerPacket::Builder builder = message.initRoot<wire::PeerPacket>();
    builder.setArrival(static_cast<std::uint8_t>(packet.m_arrival));
    builder.setHops(packet.m_hops);
    builder.setBackend(packet.m_backend.packed());
    builder.setPacket({ reinterpret_cast<const kj::byte*>(packet.m_packet.data()), packet.m_packet.size() });
    message.requireFilled();
    return out.first(messageBytes);
}

Outcome<PeerPacket> decodePeerPacket(std::span<const std::byte> datagram)
{
    CR_ASSERT(isAligned(datagram.data()), "decodePeerPacket needs an aligned buffer");
    const kj::ArrayPtr<const capnp::word> words { reinterpret_cast<const capnp::word*>(datagram.data()),
        datagram.size() / sizeof(capnp::word) };
    capnp::ReaderOptions options;
    options.traversalLimitInWords = words.size();
    options.nestingLimit = c_nestingLimit;
    try {
        capnp::FlatArrayMessageReader message { words, options };
        return readPeerPacket(message.getRoot<wire::PeerPacket>());
    } catch (const kj::Exception& exception) {
        return Error { ErrorKind::InvalidInput,
            fmt::format("malformed peer packet: {}", exception.getDescription().cStr()) };
    }
}

} // namespace cuminrelay
