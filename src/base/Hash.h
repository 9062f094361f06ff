#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace cuminrelay {

/// XXH3 of the bytes with a seed. Gives the same value on every VM.
std::uint64_t hashBytes(std::span<const std::byte> bytes, std::uint64_t seed);

std::uint64_t hashText(std::string_view text, std::uint64_t seed);

/// Hashes two words into one; ranks candidates in rendezvous hashing.
std::uint64_t hashPair(std::uint64_t first, std::uint64_t second);

} // namespace cuminrelay
