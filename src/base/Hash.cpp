#include "base/Hash.h"

#include <array>
#include <cstddef>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cuminrelay {

std::uint64_t hashBytes(std::span<const std::byte> bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashPair(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> words { first, second };
    return XXH3_64bits(words.data(), sizeof words);
}

} // namespace cuminrelay
