#include "control/ControlProcess.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>

namespace cuminrelay {

namespace {

    /// Heartbeats of a restarted control process need higher sequence numbers than those before the restart. The wall
    /// clock in microseconds gives them. If the clock steps back, peers accept lower numbers after a heartbeat
    /// time-out.
    ControlOptions withFirstSequence(ControlOptions options)
    {
        const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        options.m_firstSequence
            = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
        return options;
    }

} // namespace

ControlProcess::ControlProcess(const ControlSettings& settings)
    : m_settings(settings)
    , m_log(settings.m_logLevel)
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_metricsServer(m_context.get_executor(), m_metrics, m_log)
    , m_platform(m_context.get_executor(), settings.m_platform, m_clock, m_metrics)
    , m_probes(m_context.get_executor(), m_clock, m_metrics)
    , m_rpc(withFirstSequence(settings.m_options), m_clock, m_metrics, m_log, *this)
    , m_platformTasks(m_context.get_executor(), { m_platform, m_rpc, m_clock, m_metrics, m_log },
          settings.m_options.m_self.m_peers.packed())
    , m_probeTasks(m_context.get_executor(), m_probes, m_rpc, m_clock, settings.m_options.m_self.m_peers,
          settings.m_probeInterval)
{
}

ControlProcess::~ControlProcess()
{
    m_rpc.stop();
}

Outcome<void> ControlProcess::open()
{
    const Outcome<void> metrics = m_metricsServer.start(m_settings.m_metrics);
    if (!metrics)
        return metrics.error();
    const Outcome<std::uint16_t> port = m_rpc.start();
    if (!port)
        return port.error();
    m_control = { m_settings.m_options.m_self.m_control.m_address, port.value() };
    m_platformTasks.start();
    return boost::outcome_v2::success();
}

ExitStatus ControlProcess::run()
{
    m_signals.async_wait([this](const boost::system::error_code& error, int) {
        if (!error)
            stop();
    });
    m_log.info("control", "started",
        { { "name", m_settings.m_options.m_self.m_name }, { "zone", m_settings.m_options.m_self.m_zone },
            { "control", formatEndpoint(m_control) } });
    m_context.run();
    m_log.info("control", "stopped");
    return ExitStatus::Success;
}

void ControlProcess::stop()
{
    m_context.stop();
}

void ControlProcess::fleetChanged(FleetSnapshot snapshot)
{
    boost::asio::post(m_context, [this, snapshot = std::move(snapshot)] {
        m_platformTasks.update(snapshot);
        if (snapshot.m_isConverged)
            m_probeTasks.update(snapshot);
    });
}

void ControlProcess::statusDue(ZoneStatus status)
{
    boost::asio::post(
        m_context, [this, status = std::move(status)]() mutable { m_platformTasks.writeStatus(std::move(status)); });
}

void ControlProcess::unknownPeerConnected()
{
    boost::asio::post(m_context, [this] { m_platformTasks.requestListRead(); });
}

} // namespace cuminrelay
