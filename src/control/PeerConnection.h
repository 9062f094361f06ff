#pragma once

#include "base/Endpoint.h"
#include "control/PackedMessageStream.h"
#include "members/Members.capnp.h"
#include "observe/Metrics.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace cuminrelay {

/// One connection between two control processes. Either end may call the other, whoever opened it.
class PeerConnection {
public:
    /// side: CLIENT for the end that opened the connection. own: what the other end may call.
    PeerConnection(kj::Own<kj::AsyncIoStream> stream, capnp::rpc::twoparty::Side side, wire::ControlPeer::Client own,
        Metrics& metrics);

    /// The other end.
    wire::ControlPeer::Client remote();

    /// Resolves when the connection is gone.
    kj::Promise<void> onDisconnect() { return m_network.onDisconnect(); }

private:
    kj::Own<kj::AsyncIoStream> m_stream;
    PackedMessageStream m_messages;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

/// Opens a TCP connection from an address of this VM, by which the other end recognises a member.
kj::Promise<kj::Own<kj::AsyncIoStream>> connectFrom(
    kj::LowLevelAsyncIoProvider& provider, std::uint32_t ownAddress, Endpoint remote);

/// The address of the other end; 0 when it cannot be told.
std::uint32_t remoteAddress(kj::AsyncIoStream& stream);

} // namespace cuminrelay
