#include "control/ControlRpc.h"

#include "control/ControlHub.h"
#include "control/EntryTask.h"
#include "control/PeerTasks.h"
#include "rpc/FiberTask.h"

#include <fmt/format.h>
#include <kj/async-io.h>
#include <netinet/in.h>
#include <signal.h>

namespace cuminrelay {

namespace {

    constexpr Duration c_tickInterval = std::chrono::milliseconds { 250 };

    /// Leaves the signals that end the process to the main thread.
    void blockSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        for (const int signal : { SIGTERM, SIGINT, SIGHUP, SIGPIPE })
            sigaddset(&signals, signal);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }

    kj::Own<kj::ConnectionReceiver> listenOn(kj::AsyncIoContext& io, Endpoint endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(endpoint.m_address);
        address.sin_port = htons(endpoint.m_port);
        return io.provider->getNetwork().getSockaddr(&address, sizeof address)->listen();
    }

    void tickRepeatedly(ControlHub& hub, kj::WaitScope& scope)
    {
        while (true) {
            hub.at(hub.now() + c_tickInterval).wait(scope);
            hub.tick();
        }
    }

    /// Starts a task that runs until the returned promise is destroyed.
    template <typename Function> kj::Promise<void> startTask(Log& log, std::string_view name, Function&& function)
    {
        return startFiberTask(std::forward<Function>(function)).eagerlyEvaluate([&log, name](kj::Exception&& failure) {
            log.error("control", "task_failed", { { "task", name }, { "reason", failure.getDescription().cStr() } });
        });
    }

} // namespace

ControlRpc::ControlRpc(ControlOptions options, const Clock& clock, Metrics& metrics, Log& log, FleetListener& listener)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_metrics(metrics)
    , m_log(log)
    , m_listener(listener)
{
}

ControlRpc::~ControlRpc() noexcept
{
    stop();
}

Outcome<std::uint16_t> ControlRpc::start()
{
    std::promise<Outcome<std::uint16_t>> started;
    std::future<Outcome<std::uint16_t>> result = started.get_future();
    m_thread = std::thread { [this, started = std::move(started)]() mutable { run(std::move(started)); } };
    return result.get();
}

void ControlRpc::stop()
{
    m_mailbox.close();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlRpc::offerConfiguration(Configuration configuration)
{
    m_mailbox.post([this, configuration = std::move(configuration)]() mutable {
        m_hub->offerConfiguration(std::move(configuration), "platform");
    });
}

void ControlRpc::applyList(std::vector<Member> listed)
{
    m_mailbox.post([this, listed = std::move(listed)] { m_hub->applyList(listed); });
}

void ControlRpc::applyOwnReports(std::vector<BackendReport> reports)
{
    m_mailbox.post([this, reports = std::move(reports)] { m_hub->applyOwnReports(reports); });
}

void ControlRpc::run(std::promise<Outcome<std::uint16_t>> started)
{
    blockSignals();
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Own<kj::ConnectionReceiver> receiver;
    const kj::Maybe<kj::Exception> failed
        = kj::runCatchingExceptions([&] { receiver = listenOn(io, m_options.m_self.m_control); });
    KJ_IF_MAYBE (failure, failed) {
        started.set_value(Error { ErrorKind::Unavailable,
            fmt::format("can't listen on {}: {}", formatEndpoint(m_options.m_self.m_control),
                failure->getDescription().cStr()) });
        return;
    }
    m_options.m_self.m_control.m_port = static_cast<std::uint16_t>(receiver->getPort());
    ControlHub hub { m_options, m_clock, io.provider->getTimer(), m_metrics, m_log, m_listener };
    m_hub = &hub;
    PeerTasks peers { hub, io };
    EntryTask entry { hub, io };
    const kj::Promise<void> ticking
        = startTask(m_log, "tick", [&](kj::WaitScope& scope) { tickRepeatedly(hub, scope); });
    const kj::Promise<void> accepting
        = startTask(m_log, "accept", [&](kj::WaitScope& scope) { peers.accept(*receiver, scope); });
    const kj::Promise<void> maintaining
        = startTask(m_log, "peers", [&](kj::WaitScope& scope) { peers.maintainPeers(scope); });
    const kj::Promise<void> serving = startTask(m_log, "entry", [&](kj::WaitScope& scope) { entry.run(scope); });
    started.set_value(m_options.m_self.m_control.m_port);
    m_mailbox.run(io.waitScope);
}

} // namespace cuminrelay
