#include "entry/EntryProcess.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <fmt/format.h>
#include <string>
#include <utility>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;

    constexpr auto c_asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

EntryProcess::EntryProcess(EntrySettings settings, PlacementPolicy& placement, AdmissionPolicy& admission)
    : m_settings(std::move(settings))
    , m_placement(placement)
    , m_admission(admission)
    , m_log(m_settings.m_logLevel)
    , m_signals(m_context)
    , m_metricsServer(m_context.get_executor(), m_metrics, m_log)
{
}

Outcome<void> EntryProcess::open()
{
    Outcome<std::unique_ptr<PacketPath>> path
        = PacketPath::open(m_context, m_settings, { m_placement, m_admission, m_metrics, m_log, m_clock });
    if (!path)
        return path.error();
    m_path = std::move(path.value());
    m_packetPathProxy = std::make_unique<PacketPathProxy>(m_context, *m_path);
    Outcome<std::unique_ptr<RpcThread>> rpc = RpcThread::open(
        m_context.get_executor(), m_settings, m_path->self(), { *m_packetPathProxy, m_clock, m_metrics, m_log });
    if (!rpc)
        return rpc.error();
    m_rpc = std::move(rpc.value());
    return m_metricsServer.start(m_settings.m_metrics);
}

ExitStatus EntryProcess::run()
{
    // A write to a connection that the peer has closed must fail that connection only.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): ignoring installs no handler
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    asio::co_spawn(m_context, serveSignals(), asio::detached);
    m_path->start();
    m_rpc->start();
    const std::string incarnation = fmt::format("{:016x}", m_path->status().m_incarnation);
    m_log.info("entry", "serving",
        { { "name", m_settings.m_name }, { "zone", m_settings.m_zone }, { "packets", formatEndpoint(packets()) },
            { "peers", formatEndpoint(peers()) }, { "incarnation", incarnation }, { "version", CUMINRELAY_VERSION } });
    m_context.run();
    m_rpc->stop();
    return ExitStatus::Success;
}

void EntryProcess::requestLeave()
{
    asio::post(m_context, [this] { asio::co_spawn(m_context, leave(), asio::detached); });
}

asio::awaitable<void> EntryProcess::serveSignals()
{
    const auto [firstError, firstSignal] = co_await m_signals.async_wait(c_asTuple);
    if (firstError)
        co_return;
    asio::co_spawn(m_context, leave(), asio::detached);

    const auto [secondError, secondSignal] = co_await m_signals.async_wait(c_asTuple);
    if (secondError)
        co_return;
    const PacketPathStatus status = m_path->status();
    m_log.warning("entry", "stopped_at_once",
        { { "signal", secondSignal }, { "cut_flows", status.m_flows }, { "cut_exceptions", status.m_overrides } });
    m_context.stop();
}

asio::awaitable<void> EntryProcess::leave()
{
    if (m_leaving)
        co_return;
    m_leaving = true;
    const PacketPathStatus before = m_path->status();
    m_log.info("entry", "leaving", { { "flows", before.m_flows }, { "exceptions", before.m_overrides } });
    m_path->beginLeaving();
    const bool isDrained = co_await m_path->waitUntilDrained();
    const PacketPathStatus after = m_path->status();
    if (isDrained)
        m_log.info("entry", "left", { { "cut_flows", 0 } });
    else
        m_log.warning("entry", "leave_deadline_passed",
            { { "cut_flows", after.m_flows }, { "cut_exceptions", after.m_overrides } });
    m_context.stop();
}

} // namespace cuminrelay
