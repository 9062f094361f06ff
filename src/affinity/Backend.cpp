#include "affinity/Backend.h"

#include "base/Hash.h"

namespace cuminrelay {

namespace {

    constexpr std::uint32_t c_tokenMask = 0x7fffffff;
    constexpr std::uint64_t c_tokenSalt = 0x746f6b656e; // "token"

} // namespace

BackendToken tokenOf(BackendIdentity identity)
{
    const std::uint32_t hash = static_cast<std::uint32_t>(hashPair(identity.m_value, c_tokenSalt)) & c_tokenMask;
    return BackendToken { hash != 0 ? hash : 1 };
}

} // namespace cuminrelay
