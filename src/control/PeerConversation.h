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

/// Talks with one peer over a connection until it breaks or falls silent. The end that opened the connection beats at
/// each interval; the other one answers, and beats itself only when something is urgent. Either fetches a configuration
/// that the other one has and it has not. Throws kj::Exception when a call fails.
class PeerConversation {
public:
    PeerConversation(ControlHub& hub, kj::Own<kj::AsyncIoStream> stream, bool accepted);
    ~PeerConversation();
    PeerConversation(const PeerConversation&) = delete;
    PeerConversation& operator=(const PeerConversation&) = delete;

    void run(kj::WaitScope& scope);

private:
    void beat(kj::WaitScope& scope);
    /// Takes the peer's next version above the held one; whether that brought this process forward.
    bool fetchConfiguration(kj::WaitScope& scope);
    bool isSuperseded() const;

    ControlHub& m_hub;
    std::shared_ptr<PeerLink> m_link;
    PeerConnection m_connection;
    bool m_closing = false; ///< this end opened the connection and goes on to another member
    wire::ControlPeer::Client m_remote;
};

} // namespace cuminrelay
