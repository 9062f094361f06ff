#pragma once

#include "base/Endpoint.h"

#include <cstdint>
#include <kj/async-io.h>

namespace cuminrelay {

/// Opens a TCP connection from an address of this VM, by which the other end recognises a member.
kj::Promise<kj::Own<kj::AsyncIoStream>> connectFrom(
    kj::LowLevelAsyncIoProvider& provider, std::uint32_t ownAddress, Endpoint remote);

/// The address of the other end; 0 when it cannot be told.
std::uint32_t remoteAddress(kj::AsyncIoStream& stream);

} // namespace cuminrelay
