#pragma once

#include "control/ControlHub.h"
#include "control/PeerSession.h"

#include <kj/async-io.h>
#include <map>
#include <set>
#include <vector>

namespace cuminrelay {

/// Runs one fiber for each heartbeat target and one for each connection opened by a peer. Of two peers, the one with
/// the lower control endpoint connects; the other one connects only after a time without heartbeats.
class PeerTasks {
public:
    PeerTasks(ControlHub& hub, kj::AsyncIoContext& io);

    /// Accepts connections; those from unknown addresses are closed and counted. Never returns.
    void accept(kj::ConnectionReceiver& receiver, kj::WaitScope& scope);

    /// Never returns.
    void maintainPeers(kj::WaitScope& scope);

private:
    using Task = kj::Promise<void>;

    std::set<Endpoint> peersToConnect() const;
    void maintainPeer(Endpoint control, kj::WaitScope& scope);
    void waitBeforeConnecting(Endpoint control, kj::WaitScope& scope);

    void waitWhileLinkAccepted(Endpoint control, kj::WaitScope& scope);
    void runOpenedSession(Endpoint control, kj::WaitScope& scope);
    void runAcceptedSession(kj::Own<kj::AsyncIoStream> stream, kj::WaitScope& scope);

    ControlHub& m_hub;
    kj::AsyncIoContext& m_io;
    std::map<Endpoint, Task> m_peerTasks;
    std::vector<Endpoint> m_endedPeers;
    std::map<std::uint64_t, Task> m_acceptedTasks;
    std::vector<std::uint64_t> m_endedAccepted;
    std::uint64_t m_nextAccepted = 0;
};

} // namespace cuminrelay
