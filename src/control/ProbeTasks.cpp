#include "control/ProbeTasks.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>

namespace cuminrelay {

ProbeTasks::ProbeTasks(const boost::asio::any_io_executor& executor, BackendProbeFactory& factory, FleetInbox& inbox,
    const Clock& clock, Endpoint self, Duration interval)
    : m_executor(executor)
    , m_factory(factory)
    , m_inbox(inbox)
    , m_clock(clock)
    , m_self(self)
    , m_interval(interval)
{
}

void ProbeTasks::update(const FleetSnapshot& snapshot)
{
    const std::vector<BackendServer> servers = assignedServers(snapshot);
    std::vector<ProbedBackend> probed;
    probed.reserve(servers.size());
    for (const BackendServer& server : servers)
        probed.push_back({ server.m_tunnel, server.m_zone });
    m_health.assign(probed);
    cancelTasksExcept(servers);
    for (const BackendServer& server : servers) {
        if (!m_tasks.contains(server.m_tunnel))
            startTask(server);
    }
}

std::vector<BackendServer> ProbeTasks::assignedServers(const FleetSnapshot& snapshot) const
{
    std::vector<ProberCandidate> candidates;
    for (const Member& member : snapshot.m_view.m_members) {
        if (member.m_state != MemberState::Unreachable)
            candidates.push_back({ member.m_peers, member.m_zone });
    }
    std::vector<BackendServer> servers;
    for (const BackendServer& server : snapshot.m_configuration->m_backendServers) {
        const std::vector<Endpoint> probers = probersOf(server.m_tunnel, server.m_zone, candidates);
        if (std::ranges::find(probers, m_self) != probers.end())
            servers.push_back(server);
    }
    return servers;
}

void ProbeTasks::cancelTasksExcept(std::span<const BackendServer> servers)
{
    std::erase_if(m_tasks, [servers](const auto& entry) {
        const auto server = std::ranges::find(servers, entry.first, &BackendServer::m_tunnel);
        if (server != servers.end() && server->m_report == entry.second->m_report)
            return false;
        entry.second->m_cancel.emit(boost::asio::cancellation_type::terminal);
        return true;
    });
}

void ProbeTasks::startTask(const BackendServer& server)
{
    const std::shared_ptr<Task> task = std::make_shared<Task>();
    m_tasks[server.m_tunnel] = task;
    task->m_report = server.m_report;
    boost::asio::co_spawn(m_executor,
        probeRepeatedly(server.m_tunnel, m_factory.open(server.m_report), m_interval, m_clock, *this),
        boost::asio::bind_cancellation_slot(task->m_cancel.slot(), [task](const std::exception_ptr&) {}));
}

void ProbeTasks::recordProbe(Endpoint backend, const ProbeResult& result)
{
    const auto found = m_tasks.find(backend);
    if (found == m_tasks.end())
        return;
    const Instant now = m_clock.now();
    m_health.record(backend, result.m_signal, now);
    if (result.m_signal == ProbeSignal::Good || result.m_signal == ProbeSignal::Slow)
        found->second->m_lastLoad = result.m_load;
    const BackendLoad& load = found->second->m_lastLoad;
    m_inbox.applyOwnReports({ BackendReport { backend, m_health.health(backend), load.m_shedding, load.m_connections,
        load.m_busySlots, load.m_queued, now } });
}

} // namespace cuminrelay
