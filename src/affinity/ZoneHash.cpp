#include "affinity/ZoneHash.h"

#include "base/Hash.h"

namespace cuminrelay {

namespace {

    constexpr std::uint64_t c_zoneSalt = 0x7a6f6e65; // "zone"

} // namespace

ZoneHash hashZone(std::string_view zone)
{
    return { static_cast<std::uint32_t>(hashText(zone, c_zoneSalt)) };
}

} // namespace cuminrelay
