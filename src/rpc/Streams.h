#pragma once

#include "base/Endpoint.h"

#include <cstdint>
#include <kj/async-io.h>

namespace cuminrelay {

/// Opens a TCP connection from a local address. The remote side identifies the member by this address.
kj::Promise<kj::Own<kj::AsyncIoStream>> connectFrom(
    kj::LowLevelAsyncIoProvider& provider, std::uint32_t localAddress, Endpoint remote);

/// The IPv4 address of the remote side; 0 if it cannot be determined.
std::uint32_t remoteAddress(kj::AsyncIoStream& stream);

} // namespace cuminrelay
