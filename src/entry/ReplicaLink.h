#pragma once

#include "base/Endpoint.h"
#include "entry/PacketPathProxy.h"
#include "flows/FlowReplica.capnp.h"
#include "members/Member.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <kj/async-io.h>
#include <kj/timer.h>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Shared by all links of the RPC thread.
struct ReplicaLinkContext {
    PacketPathProxy& m_packetPath;
    kj::LowLevelAsyncIoProvider& m_sockets;
    kj::Timer& m_timer;
    Metrics& m_metrics;
    Log& m_log;
    /// Identifies this VM among the members.
    Endpoint m_self;
    /// Source address of connections; the peer accepts connections from member addresses only.
    std::uint32_t m_localAddress = 0;
};

/// Replicates this VM's flows to one peer. One fiber waits for a batch, connects, exchanges batch after batch, and
/// starts over after a failure. Batches are idempotent, so a lost answer costs only a repeated exchange.
class ReplicaLink {
public:
    ReplicaLink(const Member& peer, const ReplicaLinkContext& context);

    /// Runs in a fiber until it is cancelled.
    void run(kj::WaitScope& scope);

    Endpoint replicaEndpoint() const { return m_replica; }

private:
    /// Results other than Accepted are retried after a delay.
    enum class ExchangeResult : std::uint8_t {
        Accepted,
        /// The peer's configuration is older than a version of the batch.
        NotAccepted,
        Unreachable,
    };

    /// Exchanges batches over one connection until a failure.
    ExchangeResult exchangeUntilFailure(kj::WaitScope& scope);
    kj::Own<kj::AsyncIoStream> connect(kj::WaitScope& scope);
    bool exchange(wire::FlowReplica::Client& replica, const ReplicaBatch& batch, kj::WaitScope& scope);
    void waitBeforeRetry(ExchangeResult reason, kj::WaitScope& scope);

    Endpoint m_peer;
    Endpoint m_replica;
    std::string m_name;
    const ReplicaLinkContext& m_context;
    unsigned m_consecutiveFailures = 0;
};

} // namespace cuminrelay
