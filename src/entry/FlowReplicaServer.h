#pragma once

#include "entry/PacketPathProxy.h"
#include "flows/FlowReplica.capnp.h"
#include "observe/Metrics.h"
#include "packets/PeerFilter.h"

#include <cstdint>

namespace cuminrelay {

/// Applies the replica batches of another entry VM; one object for each connection.
class FlowReplicaServer final : public wire::FlowReplica::Server {
public:
    /// remoteAddress: the source address of the connection. The references must outlive the server.
    FlowReplicaServer(
        std::uint32_t remoteAddress, PacketPathProxy& packetPath, const PeerFilter& filter, Metrics& metrics);

    kj::Promise<void> exchange(ExchangeContext context) override;

private:
    std::uint32_t m_remoteAddress;
    PacketPathProxy& m_packetPath;
    const PeerFilter& m_filter;
    Metrics& m_metrics;
};

} // namespace cuminrelay
