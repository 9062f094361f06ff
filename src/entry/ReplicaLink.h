#pragma once

#include "base/Endpoint.h"
#include "entry/PacketThread.h"
#include "flows/FlowReplica.capnp.h"
#include "members/Member.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <kj/async-io.h>
#include <kj/timer.h>
#include <string>
#include <string_view>

namespace cuminrelay {

/// Where a link's parts come from; shared by all links of the RPC thread.
struct ReplicaLinkParts {
    PacketThread& m_packets;
    kj::LowLevelAsyncIoProvider& m_sockets;
    kj::Timer& m_timer;
    Metrics& m_metrics;
    Log& m_log;
    Endpoint m_self; ///< this VM's name among the members
    std::uint32_t m_localAddress = 0; ///< what connections are bound to, so that the peer knows whose they are
};

/// Tells one peer what it has to hold of this VM's flows: one fiber, which waits for a batch, connects, exchanges batch
/// after batch, and begins again when the peer cannot be reached. Batches are idempotent, so that a lost answer costs
/// only a repetition.
class ReplicaLink {
public:
    ReplicaLink(const Member& peer, const ReplicaLinkParts& parts);

    /// The fiber: runs until it is cancelled.
    void run(kj::WaitScope& scope);

    Endpoint replicaEndpoint() const { return m_replica; }

private:
    /// How an exchange ended; everything but Accepted is tried again after a pause.
    enum class ExchangeResult : std::uint8_t {
        Accepted,
        NotAccepted, ///< the peer does not hold a version that the batch names yet
        Unreachable,
    };

    /// One connection: exchanges until something fails.
    ExchangeResult exchangeUntilFailure(kj::WaitScope& scope);
    kj::Own<kj::AsyncIoStream> connect(kj::WaitScope& scope);
    bool exchange(wire::FlowReplica::Client& replica, const ReplicaBatch& batch, kj::WaitScope& scope);
    void pause(ExchangeResult reason, kj::WaitScope& scope);

    Endpoint m_peer;
    Endpoint m_replica;
    std::string m_name;
    const ReplicaLinkParts& m_parts;
    unsigned m_failures = 0; ///< in a row
};

} // namespace cuminrelay
