#include "entry/RpcServices.h"

#include "entry/FlowReplicaServer.h"
#include "rpc/FiberTask.h"
#include "rpc/Streams.h"

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_maximumConnections = 1024;
    constexpr int c_unacknowledgedTimeoutMs = 10'000; // closes connections with older unacknowledged data
    constexpr int c_keepAliveIdleSeconds = 5;
    constexpr kj::Duration c_acceptRetryDelay = 100 * kj::MILLISECONDS;
    constexpr std::uint64_t c_maxControlMessageWords = 1 << 20; // fits a configuration of a megabyte and its lists
    constexpr std::uint64_t c_maxReplicaMessageWords = 1 << 15;
    constexpr int c_nestingLimit = 16;

    void setOption(kj::AsyncIoStream& stream, int level, int option, int value)
    {
        stream.setsockopt(level, option, &value, sizeof value);
    }

    /// Makes the kernel close a connection to a failed VM or across a network partition.
    void enableKeepAlive(kj::AsyncIoStream& stream)
    {
        setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, c_keepAliveIdleSeconds);
        setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, c_keepAliveIdleSeconds);
        setOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, c_unacknowledgedTimeoutMs);
    }

    class ConnectionCount {
    public:
        explicit ConnectionCount(std::size_t& count)
            : m_count(count)
        {
            ++m_count;
        }
        ConnectionCount(const ConnectionCount&) = delete;
        ConnectionCount& operator=(const ConnectionCount&) = delete;
        ~ConnectionCount() { --m_count; }

    private:
        std::size_t& m_count;
    };

} // namespace

/// Serves only the control process of the same VM.
class RpcServices::ControlService final : public Service {
public:
    ControlService(std::set<std::uint32_t> localAddresses, wire::EntryControl::Client control)
        : m_localAddresses(std::move(localAddresses))
        , m_control(kj::mv(control))
    {
    }
    ControlService(const ControlService&) = delete;
    ControlService& operator=(const ControlService&) = delete;
    ~ControlService() noexcept override = default;

    bool admits(std::uint32_t address) const override { return m_localAddresses.contains(address); }
    capnp::Capability::Client serve(std::uint32_t) override { return m_control; }
    capnp::ReaderOptions readerOptions() const override { return { c_maxControlMessageWords, c_nestingLimit }; }

private:
    std::set<std::uint32_t> m_localAddresses;
    wire::EntryControl::Client m_control;
};

/// Serves the other entry VMs.
class RpcServices::ReplicaService final : public Service {
public:
    ReplicaService(PacketPathProxy& packetPath, const PeerFilter& filter, Metrics& metrics)
        : m_packetPath(packetPath)
        , m_filter(filter)
        , m_metrics(metrics)
    {
    }

    bool admits(std::uint32_t address) const override { return m_filter.containsAddress(address); }
    capnp::Capability::Client serve(std::uint32_t address) override
    {
        return kj::heap<FlowReplicaServer>(address, m_packetPath, m_filter, m_metrics);
    }
    capnp::ReaderOptions readerOptions() const override { return { c_maxReplicaMessageWords, c_nestingLimit }; }

private:
    PacketPathProxy& m_packetPath;
    const PeerFilter& m_filter;
    Metrics& m_metrics;
};

RpcServices::RpcServices(kj::AsyncIoContext& io, const Listeners& listeners, Endpoint self, PacketPathProxy& packetPath,
    const Clock& clock, Metrics& metrics, Log& log)
    : m_io(io)
    , m_metrics(metrics)
    , m_log(log)
    , m_linkContext { packetPath, *io.lowLevelProvider, io.provider->getTimer(), metrics, log, self,
        listeners.m_replicaEndpoint.m_address }
    , m_tasks(*this)
{
    // The source address of a connection within the VM is its destination address or the loopback address.
    const std::set<std::uint32_t> localAddresses { listeners.m_entryRpcEndpoint.m_address, self.m_address,
        INADDR_LOOPBACK };
    MemberListener& memberListener = *this;
    m_controlService = std::make_unique<ControlService>(
        localAddresses, kj::heap<EntryControlServer>(packetPath, memberListener, clock, metrics, log));
    m_replicaService = std::make_unique<ReplicaService>(packetPath, m_filter, metrics);
    listen(listeners.m_entryRpc, *m_controlService);
    listen(listeners.m_replica, *m_replicaService);
}

RpcServices::~RpcServices() noexcept = default;

void RpcServices::listen(int descriptor, Service& service)
{
    kj::Own<kj::ConnectionReceiver> listener
        = m_io.lowLevelProvider->wrapListenSocketFd(descriptor, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
    m_tasks.add(startFiberTask([this, &service, listener = kj::mv(listener)](
                                   kj::WaitScope& scope) mutable { acceptConnections(*listener, service, scope); }));
}

void RpcServices::acceptConnections(kj::ConnectionReceiver& listener, Service& service, kj::WaitScope& scope)
{
    for (;;) {
        kj::Maybe<kj::Own<kj::AsyncIoStream>> accepted;
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { accepted = listener.accept().wait(scope); })) {
            m_metrics.counter("cuminrelay_rpc_accept_failures_total").add();
            m_log.warning("entry", "accept_failed", { { "error", exception->getDescription().cStr() } });
        }
        KJ_IF_MAYBE (stream, accepted) {
            const std::uint32_t address = remoteAddress(**stream);
            if (!service.admits(address)) {
                m_metrics.counter("cuminrelay_refusals_total", "rpc_not_member").add();
                continue;
            }
            if (m_connections >= c_maximumConnections) {
                m_metrics.counter("cuminrelay_refusals_total", "rpc_connection_limit").add();
                continue;
            }
            m_tasks.add(startFiberTask(
                [this, &service, address, stream = kj::mv(*stream)](kj::WaitScope& connectionScope) mutable {
                    serveConnection(*stream, service, address, connectionScope);
                }));
        } else {
            m_io.provider->getTimer().afterDelay(c_acceptRetryDelay).wait(scope);
        }
    }
}

void RpcServices::serveConnection(
    kj::AsyncIoStream& stream, Service& service, std::uint32_t address, kj::WaitScope& scope)
{
    const ConnectionCount counted { m_connections };
    enableKeepAlive(stream);
    capnp::TwoPartyVatNetwork network { stream, capnp::rpc::twoparty::Side::SERVER, service.readerOptions() };
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system = capnp::makeRpcServer(network, service.serve(address));
    network.onDisconnect().wait(scope);
}

void RpcServices::membersInstalled(std::span<const Member> members)
{
    m_filter.install(members);
    std::map<Endpoint, RunningLink> links;
    for (const Member& member : members) {
        if (member.m_peers == m_linkContext.m_self)
            continue;
        const auto found = m_links.find(member.m_peers);
        if (found != m_links.end() && found->second.m_link->replicaEndpoint() == member.m_replica)
            links.insert(m_links.extract(found));
        else
            links.emplace(member.m_peers, startLink(member));
    }
    m_links = std::move(links); // ends the fibers of removed members
}

RpcServices::RunningLink RpcServices::startLink(const Member& member)
{
    std::unique_ptr<ReplicaLink> link = std::make_unique<ReplicaLink>(member, m_linkContext);
    kj::Promise<void> fiber = startFiberTask([&link = *link](kj::WaitScope& scope) { link.run(scope); });
    return { std::move(link),
        fiber.eagerlyEvaluate([this](kj::Exception&& exception) { taskFailed(kj::mv(exception)); }) };
}

void RpcServices::taskFailed(kj::Exception&& exception)
{
    m_metrics.counter("cuminrelay_rpc_failures_total").add();
    m_log.debug("entry", "rpc_task_failed", { { "error", exception.getDescription().cStr() } });
}

} // namespace cuminrelay
