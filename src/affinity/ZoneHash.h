#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// The hash of a zone's name, as entry VMs name zones to each other.
struct ZoneHash {
    std::uint32_t m_value = 0;

    friend constexpr auto operator<=>(ZoneHash, ZoneHash) = default;
};

ZoneHash hashZone(std::string_view zone);

} // namespace cuminrelay
