#pragma once

#include "base/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace cuminrelay {

/// An IPv4 address and a port, both in host byte order. Entry VMs and backend servers are identified by the endpoint
/// that receives their packets, which is the same on every VM and in every configuration version.
struct Endpoint {
    std::uint32_t m_address = 0;
    std::uint16_t m_port = 0;

    /// Address and port in the low 48 bits; key for maps and hashes.
    constexpr std::uint64_t packed() const { return (std::uint64_t { m_address } << 16) | m_port; }

    static constexpr Endpoint fromPacked(std::uint64_t packed)
    {
        return { static_cast<std::uint32_t>(packed >> 16), static_cast<std::uint16_t>(packed) };
    }

    friend constexpr auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Compact form of an endpoint for large tables: six bytes instead of eight, with an alignment of two bytes.
class PackedEndpoint {
public:
    constexpr PackedEndpoint() = default;

    // Implicit conversions both ways let callers read and assign packed fields as endpoints.
    constexpr PackedEndpoint(Endpoint endpoint) // NOLINT(google-explicit-constructor,hicpp-explicit-conversions)
        : m_addressHigh(static_cast<std::uint16_t>(endpoint.m_address >> 16))
        , m_addressLow(static_cast<std::uint16_t>(endpoint.m_address))
        , m_port(endpoint.m_port)
    {
    }

    constexpr operator Endpoint() const // NOLINT(google-explicit-constructor,hicpp-explicit-conversions)
    {
        return { (std::uint32_t { m_addressHigh } << 16) | m_addressLow, m_port };
    }

private:
    std::uint16_t m_addressHigh = 0;
    std::uint16_t m_addressLow = 0;
    std::uint16_t m_port = 0;
};

/// Parses "a.b.c.d:port" with port 1 to 65535. Errors: InvalidInput, quoting the invalid text.
Outcome<Endpoint> parseEndpoint(std::string_view text);

/// Parses "a.b.c.d" to host byte order. Errors: InvalidInput, quoting the text.
Outcome<std::uint32_t> parseAddress(std::string_view text);

std::string formatEndpoint(Endpoint endpoint);
std::string formatAddress(std::uint32_t address);

} // namespace cuminrelay
