#include "entry/ReplicaLink.h"

#include "entry/ReplicaMessage.h"
#include "rpc/Streams.h"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr kj::Duration c_exchangeTimeout = 2 * kj::SECONDS; // also limits the time to connect
    constexpr kj::Duration c_initialRetryDelay = 100 * kj::MILLISECONDS; // doubles with each consecutive failure
    constexpr unsigned c_maximumDoublings = 4;

} // namespace

ReplicaLink::ReplicaLink(const Member& peer, const ReplicaLinkContext& context)
    : m_peer(peer.m_peers)
    , m_replica(peer.m_replica)
    , m_name(peer.m_name)
    , m_context(context)
{
}

void ReplicaLink::run(kj::WaitScope& scope)
{
    for (;;) {
        const ExchangeResult result = exchangeUntilFailure(scope);
        waitBeforeRetry(result, scope);
    }
}

ReplicaLink::ExchangeResult ReplicaLink::exchangeUntilFailure(kj::WaitScope& scope)
{
    ReplicaBatch batch = m_context.m_packetPath.nextBatch(m_peer).wait(scope);
    try {
        kj::Own<kj::AsyncIoStream> stream = connect(scope);
        capnp::TwoPartyClient client { *stream };
        wire::FlowReplica::Client replica = client.bootstrap().castAs<wire::FlowReplica>();
        while (exchange(replica, batch, scope)) {
            m_consecutiveFailures = 0;
            m_context.m_packetPath
                .call([peer = m_peer, batch = std::move(batch)](PacketPath& path) { path.confirmBatch(peer, batch); })
                .wait(scope);
            batch = m_context.m_packetPath.nextBatch(m_peer).wait(scope);
        }
        return ExchangeResult::NotAccepted;
    } catch (const kj::Exception& exception) {
        m_context.m_log.debug(
            "entry", "replica_unreachable", { { "peer", m_name }, { "error", exception.getDescription().cStr() } });
        return ExchangeResult::Unreachable;
    }
}

kj::Own<kj::AsyncIoStream> ReplicaLink::connect(kj::WaitScope& scope)
{
    return m_context.m_timer
        .timeoutAfter(c_exchangeTimeout, connectFrom(m_context.m_sockets, m_context.m_localAddress, m_replica))
        .wait(scope);
}

bool ReplicaLink::exchange(wire::FlowReplica::Client& replica, const ReplicaBatch& batch, kj::WaitScope& scope)
{
    capnp::Request<wire::FlowReplica::ExchangeParams, wire::FlowReplica::ExchangeResults> request
        = replica.exchangeRequest();
    request.setSender(m_context.m_self.packed());
    writeReplicaBatch(batch, request.initBatch());
    m_context.m_metrics.counter("cuminrelay_replica_exchanges_total").add();
    m_context.m_metrics.counter("cuminrelay_replica_bytes_total").add(exchangeBytes(batch));
    const capnp::Response<wire::FlowReplica::ExchangeResults> response
        = m_context.m_timer.timeoutAfter(c_exchangeTimeout, request.send()).wait(scope);
    return response.getAccepted();
}

void ReplicaLink::waitBeforeRetry(ExchangeResult reason, kj::WaitScope& scope)
{
    m_context.m_metrics
        .counter("cuminrelay_retries_total",
            reason == ExchangeResult::NotAccepted ? "replica_not_accepted" : "replica_unreachable")
        .add();
    const unsigned doublings = std::min(m_consecutiveFailures, c_maximumDoublings);
    ++m_consecutiveFailures;
    m_context.m_timer.afterDelay(c_initialRetryDelay * (1 << doublings)).wait(scope);
}

} // namespace cuminrelay
