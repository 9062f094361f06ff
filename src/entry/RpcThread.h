#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"
#include "entry/EntrySettings.h"
#include "entry/PacketPathProxy.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <future>
#include <kj/async.h>
#include <memory>
#include <thread>

namespace cuminrelay {

/// The Cap'n Proto thread of the entry process: serves EntryControl and FlowReplica and runs a link to each peer. Its
/// KJ event loop waits for sockets; calls to the packet path are posted.
class RpcThread {
public:
    /// The references must outlive the thread.
    struct Dependencies {
        PacketPathProxy& m_packetPath;
        const Clock& m_clock;
        Metrics& m_metrics;
        Log& m_log;
    };

    /// Binds the listeners. Errors: Unavailable, with the endpoint that is in use.
    static Outcome<std::unique_ptr<RpcThread>> open(const boost::asio::any_io_executor& executor,
        const EntrySettings& settings, Endpoint self, const Dependencies& dependencies);

    RpcThread(boost::asio::ip::tcp::acceptor entryRpc, boost::asio::ip::tcp::acceptor replica, Endpoint self,
        Dependencies dependencies);
    RpcThread(const RpcThread&) = delete;
    RpcThread& operator=(const RpcThread&) = delete;
    ~RpcThread();

    void start();

    /// Closes all connections and joins the thread. May be called more than once.
    void stop();

    Endpoint entryRpc() const { return m_entryRpcEndpoint; }
    Endpoint replica() const { return m_replicaEndpoint; }

private:
    /// Thread body: provides the fulfiller that stops it, then serves until it is stopped.
    void run(std::promise<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>& stopFulfiller);

    boost::asio::ip::tcp::acceptor m_entryRpc;
    boost::asio::ip::tcp::acceptor m_replica;
    Endpoint m_entryRpcEndpoint;
    Endpoint m_replicaEndpoint;
    Endpoint m_self;
    Dependencies m_dependencies;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_stopFulfiller;
    std::thread m_thread;
};

} // namespace cuminrelay
