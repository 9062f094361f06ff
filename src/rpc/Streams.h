#pragma once

#include "base/Endpoint.h"

#include <cstdint>
#include <kj/async-io.h>

namespace cuminrelay {

/// Opens a TCP connection from a local address, by which the remote side identifies the member. Throws kj::Exception
/// if the address cannot be bound; a failed connection rejects the promise.
kj::Promise<kj::Own<kj::AsyncIoStream>> connectFrom(
    kj::LowLevelAsyncIoProvider& provider, std::uint32_t localAddress, Endpoint remote);

/// The IPv4 address of the remote side in host byte order; 0 if unknown.
std::uint32_t remoteAddress(kj::AsyncIoStream& stream);

} // namespace cuminrelay
