#pragma once

#include "entry/PacketThread.h"
#include "flows/FlowReplica.capnp.h"
#include "observe/Metrics.h"
#include "packets/PeerFilter.h"

#include <cstdint>

namespace cuminrelay {

/// Takes what another entry VM tells of its flows; one object for each connection.
class FlowReplicaServer final : public wire::FlowReplica::Server {
public:
    /// remoteAddress: whom the connection is with. The references must outlive the server.
    FlowReplicaServer(std::uint32_t remoteAddress, PacketThread& packets, const PeerFilter& filter, Metrics& metrics);

    kj::Promise<void> exchange(ExchangeContext context) override;

private:
    std::uint32_t m_remoteAddress;
    PacketThread& m_packets;
    const PeerFilter& m_filter;
    Metrics& m_metrics;
};

} // namespace cuminrelay
