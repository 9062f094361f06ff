#include "entry/PacketPath.h"

#include "entry/ReplicaMessage.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;
    using asio::ip::udp;

    constexpr auto c_asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::chrono::milliseconds c_tickInterval { 50 };
    constexpr std::size_t c_recordsPerBatch = 256;

    double seconds(Duration duration)
    {
        return std::chrono::duration<double> { duration }.count();
    }

    /// Distinguishes this process from an earlier one on the same endpoints; never zero.
    std::uint64_t generateIncarnation()
    {
        std::random_device device;
        const std::uint64_t bits = (std::uint64_t { device() } << 32) | device();
        return bits == 0 ? 1 : bits;
    }

} // namespace

Outcome<std::unique_ptr<PacketPath>> PacketPath::open(
    asio::io_context& context, const EntrySettings& settings, const Dependencies& dependencies)
{
    Outcome<udp::socket> fabric = openUdpSocket(context.get_executor(), settings.m_packets, "packets");
    if (!fabric)
        return fabric.error();
    Outcome<udp::socket> peers = openUdpSocket(context.get_executor(), settings.m_peers, "peer packets");
    if (!peers)
        return peers.error();
    return std::make_unique<PacketPath>(std::move(fabric.value()), std::move(peers.value()), settings, dependencies);
}

PacketPath::PacketPath(
    udp::socket fabric, udp::socket peers, const EntrySettings& settings, const Dependencies& dependencies)
    : m_fabricSocket(std::move(fabric))
    , m_peersSocket(std::move(peers))
    , m_self(localEndpoint(m_peersSocket))
    , m_metrics(dependencies.m_metrics)
    , m_log(dependencies.m_log)
    , m_clock(dependencies.m_clock)
    , m_incarnation(generateIncarnation())
    , m_startedAt(dependencies.m_clock.now())
    , m_leaveTimeout(settings.m_leaveTimeout)
    , m_actionExecutor(m_fabricSocket, m_peersSocket, settings.m_answers, dependencies.m_metrics)
    , m_fabric(m_fabricSocket, m_actionExecutor, settings.m_fabricSources, dependencies.m_metrics, dependencies.m_log)
    , m_peers(m_peersSocket, m_actionExecutor, m_filter, dependencies.m_metrics, dependencies.m_log)
    , m_router(m_self, dependencies.m_placement, dependencies.m_admission, { settings.m_flowLimit })
    , m_pacer(settings.m_replicaBytesPerSecond)
    , m_leaveDeadline(m_fabricSocket.get_executor())
{
}

void PacketPath::start()
{
    const asio::any_io_executor executor = m_fabricSocket.get_executor();
    asio::co_spawn(executor, runFrontEnd(m_fabric), asio::detached);
    asio::co_spawn(executor, runFrontEnd(m_peers), asio::detached);
    asio::co_spawn(executor, runTicks(), asio::detached);
}

Endpoint PacketPath::packets() const
{
    return localEndpoint(m_fabricSocket);
}

asio::awaitable<void> PacketPath::runFrontEnd(PacketFrontEnd& frontEnd)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    std::vector<PacketAction> actions(c_maximumBatch);
    for (;;) {
        const std::span<const PacketSummary> packets = co_await frontEnd.receive();
        if (packets.empty())
            co_return;
        const std::span<PacketAction> decided = std::span { actions }.first(packets.size());
        const Instant startTime = m_clock.now();
        m_router.decide(packets, decided, startTime);
        m_metrics.observeSeconds("cuminrelay_decide_batch_seconds", seconds(m_clock.now() - startTime));
        frontEnd.send(decided);
        co_await asio::post(executor, asio::use_awaitable); // lets other tasks run during a packet flood
    }
}

asio::awaitable<void> PacketPath::runTicks()
{
    asio::steady_timer timer { m_fabricSocket.get_executor() };
    for (;;) {
        timer.expires_after(c_tickInterval);
        const auto [error] = co_await timer.async_wait(c_asTuple);
        if (error)
            co_return;
        const Instant now = m_clock.now();
        m_router.tick(now);
        deliverBatches(now);
        if (m_leaving && m_router.drained())
            m_leaveDeadline.cancel();
    }
}

void PacketPath::deliverBatches(Instant now)
{
    // Round robin over the waiting peers, starting after the one served last.
    std::vector<Endpoint> servingOrder;
    for (auto it = m_receivers.upper_bound(m_lastServedPeer); it != m_receivers.end(); ++it)
        servingOrder.push_back(it->first);
    for (auto it = m_receivers.begin(); it != m_receivers.upper_bound(m_lastServedPeer); ++it)
        servingOrder.push_back(it->first);
    for (const Endpoint peer : servingOrder) {
        if (!m_pacer.maySend(now))
            return;
        if (deliverBatch(peer, now))
            m_lastServedPeer = peer;
    }
}

bool PacketPath::deliverBatch(Endpoint peer, Instant now)
{
    ReplicaBatch batch = m_router.nextBatch(peer, c_recordsPerBatch, now);
    if (batch.empty())
        return false;
    m_pacer.charge(exchangeBytes(batch), now);
    const auto found = m_receivers.find(peer);
    const std::unique_ptr<BatchReceiver> receiver = std::move(found->second);
    m_receivers.erase(found);
    receiver->deliver(std::move(batch));
    return true;
}

ConfigVersion PacketPath::install(std::shared_ptr<const ServiceTables> tables, const Configuration& configuration)
{
    if (m_router.installTables(std::move(tables), configuration.m_backendServers, m_clock.now()))
        m_log.info("entry", "configuration_in_force",
            { { "version", configuration.m_version.m_number }, { "services", configuration.m_services.size() },
                { "backend_servers", configuration.m_backendServers.size() } });
    return m_router.configVersion();
}

void PacketPath::installMembers(const MemberView& view)
{
    m_filter.install(view.m_members);
    m_router.installMembers(view, m_clock.now());
}

void PacketPath::applyReports(std::span<const BackendReport> reports)
{
    m_router.applyReports(reports);
}

void PacketPath::requestBatch(Endpoint peer, std::unique_ptr<BatchReceiver> receiver)
{
    m_receivers[peer] = std::move(receiver);
}

void PacketPath::confirmBatch(Endpoint peer, const ReplicaBatch& batch)
{
    m_router.confirmBatch(peer, batch, m_clock.now());
}

bool PacketPath::acceptBatch(Endpoint peer, const ReplicaBatch& batch)
{
    return m_router.acceptBatch(peer, batch, m_clock.now());
}

PacketPathStatus PacketPath::status() const
{
    PacketPathStatus status;
    status.m_configVersion = m_router.configVersion();
    status.m_flows = m_router.flowCount();
    status.m_overrides = m_router.overrideCount();
    status.m_drained = m_router.drained();
    status.m_leaving = m_leaving;
    status.m_owning = m_router.isOwner();
    status.m_incarnation = m_incarnation;
    status.m_uptime = m_clock.now() - m_startedAt;
    return status;
}

void PacketPath::beginLeaving()
{
    m_leaving = true;
    m_router.beginLeaving();
    m_leaveDeadline.expires_after(m_leaveTimeout);
}

asio::awaitable<bool> PacketPath::waitUntilDrained()
{
    co_await m_leaveDeadline.async_wait(c_asTuple);
    co_return m_router.drained();
}

} // namespace cuminrelay
