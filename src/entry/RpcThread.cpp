#include "entry/RpcThread.h"

#include "base/Listener.h"
#include "entry/RpcServices.h"

#include <future>
#include <kj/async-io.h>
#include <utility>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

} // namespace

Outcome<std::unique_ptr<RpcThread>> RpcThread::open(const asio::any_io_executor& executor,
    const EntrySettings& settings, Endpoint self, const Dependencies& dependencies)
{
    Outcome<tcp::acceptor> entryRpc = openListener(executor, settings.m_entryRpc, "entry RPC");
    if (!entryRpc)
        return entryRpc.error();
    Outcome<tcp::acceptor> replica = openListener(executor, settings.m_replica, "flow replicas");
    if (!replica)
        return replica.error();
    return std::make_unique<RpcThread>(std::move(entryRpc.value()), std::move(replica.value()), self, dependencies);
}

RpcThread::RpcThread(tcp::acceptor entryRpc, tcp::acceptor replica, Endpoint self, Dependencies dependencies)
    : m_entryRpc(std::move(entryRpc))
    , m_replica(std::move(replica))
    , m_entryRpcEndpoint(localEndpoint(m_entryRpc))
    , m_replicaEndpoint(localEndpoint(m_replica))
    , m_self(self)
    , m_dependencies(dependencies)
{
}

RpcThread::~RpcThread()
{
    stop();
}

void RpcThread::start()
{
    using StopFulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;
    std::promise<StopFulfiller> stopFulfiller;
    std::future<StopFulfiller> ready = stopFulfiller.get_future();
    m_thread = std::thread { [this, stopFulfiller = std::move(stopFulfiller)]() mutable { run(stopFulfiller); } };
    m_stopFulfiller = ready.get();
}

void RpcThread::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopFulfiller->fulfill();
    m_thread.join();
}

void RpcThread::run(std::promise<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>& stopFulfiller)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    stopFulfiller.set_value(kj::mv(stop.fulfiller));
    const RpcServices::Listeners listeners { m_entryRpc.release(), m_replica.release(), m_entryRpcEndpoint,
        m_replicaEndpoint };
    RpcServices services { io, listeners, m_self, m_dependencies.m_packetPath, m_dependencies.m_clock,
        m_dependencies.m_metrics, m_dependencies.m_log };
    stop.promise.wait(io.waitScope);
}

} // namespace cuminrelay
