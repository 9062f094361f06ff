#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// Hash of a zone's name, which identifies the zone in messages between entry VMs.
struct ZoneHash {
    std::uint32_t m_value = 0;

    friend constexpr auto operator<=>(ZoneHash, ZoneHash) = default;
};

ZoneHash hashZone(std::string_view zone);

} // namespace cuminrelay
