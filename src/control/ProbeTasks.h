#pragma once

#include "backends/BackendProbe.h"
#include "backends/HealthTracker.h"
#include "control/FleetInbox.h"
#include "control/FleetListener.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace cuminrelay {

/// Runs one probe task for each backend server assigned to this VM, and reports health and load after each probe.
class ProbeTasks final : private ProbeSink {
public:
    /// self: this VM's m_peers endpoint. All references must outlive the executor's context.
    ProbeTasks(const boost::asio::any_io_executor& executor, BackendProbeFactory& factory, FleetInbox& inbox,
        const Clock& clock, Endpoint self, Duration interval);

    /// Starts and cancels tasks to match the backend servers that the snapshot assigns to this VM.
    void update(const FleetSnapshot& snapshot);

    std::size_t taskCount() const { return m_tasks.size(); }

private:
    /// A running probe task. The coroutine shares ownership, because it uses the signal until it has ended.
    struct Task {
        Endpoint m_report;
        boost::asio::cancellation_signal m_cancel;
        BackendLoad m_lastLoad;
    };

    std::vector<BackendServer> assignedServers(const FleetSnapshot& snapshot) const;
    void cancelTasksExcept(std::span<const BackendServer> servers);
    void startTask(const BackendServer& server);
    void recordProbe(Endpoint backend, const ProbeResult& result) override;

    boost::asio::any_io_executor m_executor;
    BackendProbeFactory& m_factory;
    FleetInbox& m_inbox;
    const Clock& m_clock;
    Endpoint m_self;
    Duration m_interval;
    HealthTracker m_health;
    std::map<Endpoint, std::shared_ptr<Task>> m_tasks;
};

} // namespace cuminrelay
