#include "control/PeerConnection.h"

#include <capnp/message.h>

namespace cuminrelay {

namespace {

    using capnp::rpc::twoparty::Side;

} // namespace

PeerConnection::PeerConnection(
    kj::Own<kj::AsyncIoStream> stream, Side side, wire::ControlPeer::Client own, Metrics& metrics)
    : m_stream(kj::mv(stream))
    , m_messages(*m_stream, metrics.counter("cuminrelay_control_bytes_total", "peers_sent"),
          metrics.counter("cuminrelay_control_bytes_total", "peers_received"))
    , m_network(m_messages, side)
    , m_rpc(m_network, capnp::Capability::Client { kj::mv(own) })
{
}

wire::ControlPeer::Client PeerConnection::remote()
{
    capnp::MallocMessageBuilder message;
    capnp::rpc::twoparty::VatId::Builder other = message.initRoot<capnp::rpc::twoparty::VatId>();
    other.setSide(m_network.getSide() == Side::CLIENT ? Side::SERVER : Side::CLIENT);
    return m_rpc.bootstrap(other).castAs<wire::ControlPeer>();
}

} // namespace cuminrelay
