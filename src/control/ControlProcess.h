#pragma once

#include "backends/HttpBackendProbe.h"
#include "control/ControlRpc.h"
#include "control/ControlSettings.h"
#include "control/PlatformTasks.h"
#include "control/ProbeTasks.h"
#include "objectapi/HttpPlatformClient.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "observe/MetricsServer.h"
#include "settings/Program.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace cuminrelay {

/// The control process. Platform tasks, probe tasks and metrics run on the thread that calls run(); heartbeats and
/// calls to the entry process run on the RPC thread. The threads communicate by posting only.
class ControlProcess final : private FleetListener {
public:
    explicit ControlProcess(const ControlSettings& settings);

    /// Stops the RPC thread first, because it posts to the context.
    ~ControlProcess() override;

    /// Listens on all endpoints. Errors: Unavailable, with the endpoint.
    Outcome<void> open();

    /// Runs until stop(), SIGTERM or SIGINT, then stops at once: the entry process continues to serve.
    ExitStatus run();

    /// Ends run(). Thread-safe.
    void stop();

    /// Endpoint of /metrics; valid after open().
    Endpoint metricsEndpoint() const { return m_metricsServer.localEndpoint(); }

    /// Endpoint for the control processes of other VMs; valid after open().
    Endpoint controlEndpoint() const { return m_control; }

    Metrics& metrics() { return m_metrics; }

private:
    void fleetChanged(FleetSnapshot snapshot) override;
    void statusDue(ZoneStatus status) override;
    void unknownPeerConnected() override;

    ControlSettings m_settings;
    SystemClock m_clock;
    Metrics m_metrics;
    Log m_log;
    boost::asio::io_context m_context { 1 };
    boost::asio::signal_set m_signals;
    MetricsServer m_metricsServer;
    HttpPlatformClient m_platform;
    HttpBackendProbeFactory m_probes;
    ControlRpc m_rpc;
    PlatformTasks m_platformTasks;
    ProbeTasks m_probeTasks;
    Endpoint m_control;
};

} // namespace cuminrelay
