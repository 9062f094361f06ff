#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace cuminrelay {

/// XXH3 of the bytes under a seed. The same on every VM.
std::uint64_t hashBytes(std::span<const std::byte> bytes, std::uint64_t seed);

std::uint64_t hashText(std::string_view text, std::uint64_t seed);

/// Mixes two words to one; used to rank candidates in a rendezvous hash.
std::uint64_t hashPair(std::uint64_t first, std::uint64_t second);

} // namespace cuminrelay
