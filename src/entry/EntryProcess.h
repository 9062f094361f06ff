#pragma once

#include "admission/AdmissionPolicy.h"
#include "entry/EntrySettings.h"
#include "entry/PacketPath.h"
#include "entry/PacketPathProxy.h"
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

/// Runs the packet path, /metrics and signal handling on the calling thread, Cap'n Proto RPC on another.
///
/// The first SIGTERM or SIGINT starts the handover of all flows, up to the leave deadline; the second stops at once.
class EntryProcess {
public:
    /// The policies must outlive the process.
    EntryProcess(EntrySettings settings, PlacementPolicy& placement, AdmissionPolicy& admission);

    /// Binds all endpoints. Errors: Unavailable, with the first endpoint that cannot be bound.
    Outcome<void> open();

    /// Serves until the handover ends; call after open. Returns Success even if flows were not handed over (logged).
    ExitStatus run();

    /// Bound endpoints; valid after open.
    Endpoint packets() const { return m_path->packets(); }
    Endpoint peers() const { return m_path->self(); }
    Endpoint entryRpc() const { return m_rpc->entryRpc(); }
    Endpoint replica() const { return m_rpc->replica(); }
    Endpoint metrics() const { return m_metricsServer.localEndpoint(); }

    /// Same effect as the first SIGTERM. Callable from any thread.
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
    std::unique_ptr<PacketPathProxy> m_packetPathProxy;
    std::unique_ptr<RpcThread> m_rpc;
    bool m_leaving = false;
};

} // namespace cuminrelay
