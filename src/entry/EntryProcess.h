#pragma once

#include "admission/AdmissionPolicy.h"
#include "entry/EntrySettings.h"
#include "entry/PacketPath.h"
#include "entry/PacketThread.h"
#include "entry/RpcThread.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/MetricsServer.h"
#include "placement/PlacementPolicy.h"
#include "settings/Program.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>

namespace cuminrelay {

/// The entry process: the packet path, /metrics and signals on the calling thread, Cap'n Proto RPC on another.
///
/// SIGTERM or SIGINT hands everything over first, at most until the leave deadline; a second one stops at once.
class EntryProcess {
public:
    /// The policies must outlive the process.
    EntryProcess(EntrySettings settings, PlacementPolicy& placement, AdmissionPolicy& admission);

    /// Binds all endpoints. Errors: Unavailable, naming the first endpoint that cannot be bound.
    Outcome<void> open();

    /// Serves until it was told to stop; after open. Success even when flows had to be cut, which is logged.
    ExitStatus run();

    /// Where it listens; after open.
    Endpoint packets() const { return m_path->packets(); }
    Endpoint peers() const { return m_path->self(); }
    Endpoint entryRpc() const { return m_rpc->entryRpc(); }
    Endpoint replica() const { return m_rpc->replica(); }
    Endpoint metrics() const { return m_metricsServer.localEndpoint(); }

    /// Does what the first SIGTERM does; from any thread.
    void requestLeave();

private:
    boost::asio::awaitable<void> serveSignals();
    boost::asio::awaitable<void> leave();

    EntrySettings m_settings;
    PlacementPolicy& m_placement;
    AdmissionPolicy& m_admission;
    Log m_log;
    Metrics m_metrics;
    SystemClock m_clock;
    boost::asio::io_context m_context { 1 };
    boost::asio::signal_set m_signals;
    MetricsServer m_metricsServer;
    std::unique_ptr<PacketPath> m_path;
    std::unique_ptr<PacketThread> m_packetThread;
    std::unique_ptr<RpcThread> m_rpc;
    bool m_leaving = false;
};

} // namespace cuminrelay
