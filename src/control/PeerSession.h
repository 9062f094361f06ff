#pragma once

#include "control/ControlHub.h"
#include "control/PeerConnection.h"
#include "members/Members.capnp.h"
#include "rpc/Streams.h"

#include <kj/async.h>
#include <memory>

namespace cuminrelay {

/// Answers the calls of one peer.
class PeerService final : public wire::ControlPeer::Server {
public:
    PeerService(ControlHub& hub, std::shared_ptr<PeerLink> link);

    kj::Promise<void> beat(BeatContext context) override;
    kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override;

private:
    ControlHub& m_hub;
    std::shared_ptr<PeerLink> m_link;
};

/// Session with one peer over one connection. The end that opened the connection sends a heartbeat each interval. The
/// accepting end answers, and sends its own heartbeats only for urgent changes. Both ends fetch newer configurations
/// from each other.
class PeerSession {
public:
    PeerSession(ControlHub& hub, kj::Own<kj::AsyncIoStream> stream, bool accepted);
    ~PeerSession();
    PeerSession(const PeerSession&) = delete;
    PeerSession& operator=(const PeerSession&) = delete;

    /// Returns when the connection breaks, heartbeats time out, or another connection or target replaces this one.
    /// Throws kj::Exception if a call fails.
    void run(kj::WaitScope& scope);

private:
    void beat(kj::WaitScope& scope);
    /// Fetches the peer's next version above the held one. Returns whether the held version advanced.
    bool fetchConfiguration(kj::WaitScope& scope);
    /// Whether a connection opened by the peer, the preferred end, replaces this one.
    bool isSuperseded() const;

    ControlHub& m_hub;
    std::shared_ptr<PeerLink> m_link;
    PeerConnection m_connection;
    bool m_closing = false; ///< this end opened the connection and replaces the peer by another target
    wire::ControlPeer::Client m_remote;
};

} // namespace cuminrelay
