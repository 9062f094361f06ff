#include "base/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace cuminrelay {

Outcome<std::uint32_t> parseAddress(std::string_view text)
{
    const std::string terminated { text };
    in_addr parsed {};
    if (inet_pton(AF_INET, terminated.c_str(), &parsed) != 1)
        return Error { ErrorKind::InvalidInput, fmt::format("\"{}\" is no IPv4 address; expected a.b.c.d", text) };
    return ntohl(parsed.s_addr);
}

Outcome<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return Error { ErrorKind::InvalidInput, fmt::format("\"{}\" is no endpoint; expected a.b.c.d:port", text) };
    const Outcome<std::uint32_t> address = parseAddress(text.substr(0, colon));
    if (!address)
        return address.error();
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc {} || parsed.ptr != digits.data() + digits.size() || port == 0)
        return Error { ErrorKind::InvalidInput, fmt::format("\"{}\" has no valid port; expected 1 to 65535", text) };
    return Endpoint { address.value(), port };
}

std::string formatAddress(std::uint32_t address)
{
    return fmt::format("{}.{}.{}.{}", address >> 24, (address >> 16) & 0xff, (address >> 8) & 0xff, address & 0xff);
}

std::string formatEndpoint(Endpoint endpoint)
{
    return fmt::format("{}:{}", formatAddress(endpoint.m_address), endpoint.m_port);
}

} // namespace cuminrelay
