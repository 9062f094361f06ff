#pragma once

#include "control/ControlHub.h"
#include "control/PeerConversation.h"

#include <kj/async-io.h>
#include <map>
#include <set>
#include <vector>

namespace cuminrelay {

/// One fiber for each peer that this VM beats to, and one for each connection that a peer opened. Of two peers, the one
/// with the lower control endpoint opens the connection; the other one only when it hears nothing for a while.
class PeerTasks {
public:
    PeerTasks(ControlHub& hub, kj::AsyncIoContext& io);

    /// Accepts connections for ever; those of strangers are dropped and counted.
    void accept(kj::ConnectionReceiver& receiver, kj::WaitScope& scope);

    /// Keeps a fiber for each peer, for ever.
    void keepPeers(kj::WaitScope& scope);

private:
    using Task = kj::Promise<void>;

    std::set<Endpoint> wantedPeers() const;
    void beatToPeer(Endpoint control, kj::WaitScope& scope);
    void waitForTurn(Endpoint control, kj::WaitScope& scope);

    /// Waits while the peer beats to this VM on a connection that it opened.
    void waitForAcceptedLink(Endpoint control, kj::WaitScope& scope);
    void converseOnce(Endpoint control, kj::WaitScope& scope);
    void converseAccepted(kj::Own<kj::AsyncIoStream> stream, kj::WaitScope& scope);

    ControlHub& m_hub;
    kj::AsyncIoContext& m_io;
    std::map<Endpoint, Task> m_peerTasks;
    std::vector<Endpoint> m_endedPeers;
    std::map<std::uint64_t, Task> m_acceptedTasks;
    std::vector<std::uint64_t> m_endedAccepted;
    std::uint64_t m_nextAccepted = 0;
};

} // namespace cuminrelay
