#pragma once

#include "Loop.h"

#include <optional>

namespace review {

constexpr std::uint8_t c_ack = 2;
constexpr std::uint8_t c_fin = 4;
constexpr std::uint8_t c_syn = 32;
constexpr std::uint8_t c_rst = 64;

/// The four addresses and ports of a flow.
struct FlowKey {
    Address m_caller;
    Address m_service;

    friend auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

/// A packet of the protocol: 31 bytes of head, little-endian, then data.
struct Packet {
    Address m_source;
    Address m_destination;
    std::uint8_t m_flags = 0;
    std::uint32_t m_echo = 0;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgment = 0;
    std::string m_data;
    bool m_isIntact = true; ///< the sum is that of its sender
    bool m_isSystemReset = false; ///< a reset with the sum 0
};

template <typename T> void put(std::string& out, T value)
{
    for (std::size_t i = 0; i < sizeof value; ++i)
        out += static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * i)) & 255);
}

template <typename T> T take(const unsigned char* bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<std::uint64_t>(bytes[i]) << (8 * i);
    return static_cast<T>(value);
}

/// The keyed sum over all fields but the echo.
inline std::uint32_t sumOf(const Packet& packet)
{
    std::string fields;
    put(fields, packet.m_flags);
    put(fields, packet.m_source.m_ip);
    put(fields, packet.m_source.m_port);
    put(fields, packet.m_destination.m_ip);
    put(fields, packet.m_destination.m_port);
    put(fields, packet.m_sequence);
    put(fields, packet.m_acknowledgment);
    fields += packet.m_data;
    std::uint32_t sum = 0x5bd1e995;
    for (const char c : fields)
        sum = (sum ^ static_cast<unsigned char>(c)) * 16777619U;
    return sum | 1U;
}

inline std::string encode(const Packet& packet)
{
    std::string out;
    put(out, sumOf(packet));
    put(out, packet.m_flags);
    put(out, packet.m_echo);
    put(out, packet.m_destination.m_port);
    put(out, packet.m_source.m_ip);
    put(out, packet.m_destination.m_ip);
    put(out, packet.m_source.m_port);
    put(out, packet.m_sequence);
    put(out, packet.m_acknowledgment);
    put(out, static_cast<std::uint16_t>(packet.m_data.size()));
    return out + packet.m_data;
}

inline std::optional<Packet> decode(const unsigned char* bytes, std::size_t size)
{
    constexpr std::size_t head = 31;
    if (size < head || take<std::uint16_t>(bytes + 29) != size - head)
        return std::nullopt;
    Packet packet;
    packet.m_flags = bytes[4];
    packet.m_echo = take<std::uint32_t>(bytes + 5);
    packet.m_destination = { take<std::uint32_t>(bytes + 15), take<std::uint16_t>(bytes + 9) };
    packet.m_source = { take<std::uint32_t>(bytes + 11), take<std::uint16_t>(bytes + 19) };
    packet.m_sequence = take<std::uint32_t>(bytes + 21);
    packet.m_acknowledgment = take<std::uint32_t>(bytes + 25);
    packet.m_data.assign(reinterpret_cast<const char*>(bytes) + head, size - head);
    const std::uint32_t sum = take<std::uint32_t>(bytes);
    packet.m_isSystemReset = sum == 0 && packet.m_flags == c_rst && packet.m_data.empty();
    packet.m_isIntact = sum == sumOf(packet);
    return packet;
}

} // namespace review
