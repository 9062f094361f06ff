#pragma once

#include "base/Endpoint.h"
#include "control/PackedMessageStream.h"
#include "members/Members.capnp.h"
#include "observe/Metrics.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace cuminrelay {

/// A connection between two control processes, over which both ends may make calls.
class PeerConnection {
public:
    /// side: CLIENT for the end that opened the connection. own: service offered to the remote end.
    PeerConnection(kj::Own<kj::AsyncIoStream> stream, capnp::rpc::twoparty::Side side, wire::ControlPeer::Client own,
        Metrics& metrics);

    /// The service of the remote end.
    wire::ControlPeer::Client remote();

    /// Resolves when the connection is closed.
    kj::Promise<void> onDisconnect() { return m_network.onDisconnect(); }

private:
    kj::Own<kj::AsyncIoStream> m_stream;
    PackedMessageStream m_messages;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

} // namespace cuminrelay
