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

/// The control process: platform tasks, probe tasks and metrics on the thread that calls run(), heartbeats and the
/// entry process on the RPC thread. The two cross by posting only.
class ControlProcess final : private FleetListener {
public:
    explicit ControlProcess(const ControlSettings& settings);

    /// Stops the RPC thread first: it posts to the context.
    ~ControlProcess() override;

    /// Listens on all endpoints. Errors: Unavailable, naming the one that can't be had.
    Outcome<void> open();

    /// Runs until stop() or until SIGTERM or SIGINT comes, then stops at once: the entry process goes on serving.
    ExitStatus run();

    /// Ends run(); from any thread.
    void stop();

    /// Where /metrics is served; after open().
    Endpoint metricsEndpoint() const { return m_metricsServer.localEndpoint(); }

    /// Where the control processes of other VMs connect; after open().
    Endpoint controlEndpoint() const { return m_control; }

    Metrics& metrics() { return m_metrics; }

private:
    void fleetChanged(FleetSnapshot snapshot) override;
    void statusDue(ZoneStatus status) override;
    void strangerCalled() override;

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
