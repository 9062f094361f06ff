#include "entry/FlowReplicaServer.h"

#include "entry/ReplicaMessage.h"

#include <kj/debug.h>
#include <utility>

namespace cuminrelay {

FlowReplicaServer::FlowReplicaServer(
    std::uint32_t remoteAddress, PacketPathProxy& packetPath, const PeerFilter& filter, Metrics& metrics)
    : m_remoteAddress(remoteAddress)
    , m_packetPath(packetPath)
    , m_filter(filter)
    , m_metrics(metrics)
{
}

kj::Promise<void> FlowReplicaServer::exchange(ExchangeContext context)
{
    const Endpoint sender = Endpoint::fromPacked(context.getParams().getSender());
    if (!m_filter.containsAddress(m_remoteAddress) || !m_filter.containsPeer(sender)) {
        m_metrics.counter("cuminrelay_refusals_total", "rpc_not_member").add();
        return KJ_EXCEPTION(FAILED, "the sender is not a member of the current or previous view");
    }
    Outcome<ReplicaBatch> batch = readReplicaBatch(context.getParams().getBatch());
    if (!batch) {
        m_metrics.counter("cuminrelay_refusals_total", "rpc_malformed").add();
        return KJ_EXCEPTION(FAILED, "malformed batch", batch.error().m_message.c_str());
    }
    return m_packetPath
        .call([sender, batch = std::move(batch.value())](PacketPath& path) { return path.acceptBatch(sender, batch); })
        .then([context](bool accepted) mutable { context.getResults().setAccepted(accepted); });
}

} // namespace cuminrelay
