#pragma once

#include "entry/EntryControlServer.h"
#include "entry/PacketPathProxy.h"
#include "entry/ReplicaLink.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "packets/PeerFilter.h"

#include <capnp/capability.h>
#include <capnp/message.h>
#include <kj/async-io.h>
#include <map>
#include <memory>
#include <span>
#include <string_view>

namespace cuminrelay {

/// Runs the RPC thread's servers and links: one fiber for each listener, each accepted connection and each peer.
class RpcServices final : private MemberListener, private kj::TaskSet::ErrorHandler {
public:
    struct Listeners {
        /// Owned socket descriptors.
        int m_entryRpc = -1;
        int m_replica = -1;
        Endpoint m_entryRpcEndpoint;
        Endpoint m_replicaEndpoint;
    };

    RpcServices(kj::AsyncIoContext& io, const Listeners& listeners, Endpoint self, PacketPathProxy& packetPath,
        const Clock& clock, Metrics& metrics, Log& log);
    RpcServices(const RpcServices&) = delete;
    RpcServices& operator=(const RpcServices&) = delete;
    ~RpcServices() noexcept override;

private:
    /// One kind of connection: the source addresses that are accepted, and the object that is served.
    class Service {
    public:
        Service() = default;
        Service(const Service&) = delete;
        Service& operator=(const Service&) = delete;
        virtual ~Service() = default;

        virtual bool admits(std::uint32_t address) const = 0;
        virtual capnp::Capability::Client serve(std::uint32_t address) = 0;
        virtual capnp::ReaderOptions readerOptions() const = 0;
    };
    class ControlService;
    class ReplicaService;

    struct RunningLink {
        std::unique_ptr<ReplicaLink> m_link;
        kj::Promise<void> m_fiber;
    };

    void listen(int descriptor, Service& service);
    void acceptConnections(kj::ConnectionReceiver& listener, Service& service, kj::WaitScope& scope);
    void serveConnection(kj::AsyncIoStream& stream, Service& service, std::uint32_t address, kj::WaitScope& scope);
    void membersInstalled(std::span<const Member> members) override;
    RunningLink startLink(const Member& member);
    void taskFailed(kj::Exception&& exception) override;

    kj::AsyncIoContext& m_io;
    Metrics& m_metrics;
    Log& m_log;
    PeerFilter m_filter;
    ReplicaLinkContext m_linkContext;
    std::unique_ptr<ControlService> m_controlService;
    std::unique_ptr<ReplicaService> m_replicaService;
    std::size_t m_connections = 0;
    /// Keyed by Member::m_peers.
    std::map<Endpoint, RunningLink> m_links;
    /// Declared last: the fibers must end before the members that they use.
    kj::TaskSet m_tasks;
};

} // namespace cuminrelay
