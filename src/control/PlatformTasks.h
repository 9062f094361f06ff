#pragma once

#include "base/Backoff.h"
#include "control/AsyncSignal.h"
#include "control/FleetInbox.h"
#include "control/FleetListener.h"
#include "objectapi/PlatformClient.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace cuminrelay {

/// The tasks that talk to the platform, one coroutine each: watch the configuration, read the VM list, write the
/// zone's status. When the platform is down or lies, they go on trying with backoff and a budget, and what is held
/// stays in force.
class PlatformTasks {
public:
    /// What the tasks use; all of it must outlive the executor's context.
    struct Environment {
        PlatformClient& m_client;
        FleetInbox& m_inbox;
        const Clock& m_clock;
        Metrics& m_metrics;
        Log& m_log;
    };

    /// seed: sets the jitter apart between processes.
    PlatformTasks(const boost::asio::any_io_executor& executor, const Environment& environment, std::uint64_t seed);

    void start();

    /// Takes this VM's part in the fleet: only who has to reads the platform.
    void update(const FleetSnapshot& snapshot);

    /// Has the status written; one that was not written yet is replaced.
    void writeStatus(ZoneStatus status);

    /// Has the VM list read soon: somebody called who is not known.
    void readListSoon();

private:
    boost::asio::awaitable<void> watchConfiguration();
    boost::asio::awaitable<void> readLists();
    boost::asio::awaitable<void> writeStatuses();
    boost::asio::awaitable<void> writeOneStatus(const ZoneStatus& status);

    /// Takes what a watch returned; the reason to wait before the next one, empty for none.
    std::string_view takeObject(const Outcome<StoredObject>& object, Instant started);

    boost::asio::awaitable<void> waitForRetry(Backoff& backoff, std::string_view task, std::string_view reason);

    boost::asio::any_io_executor m_executor;
    Environment m_environment;
    std::uint64_t m_seed;
    AsyncSignal m_watchSignal;
    AsyncSignal m_listSignal;
    AsyncSignal m_statusSignal;
    bool m_readsPlatform = true;
    bool m_watchesConfiguration = false;
    std::uint64_t m_heldVersion = 0; ///< of the configuration; what is watched is above it
    std::uint64_t m_refusedVersion = 0; ///< of the last one that could not be understood
    std::optional<ZoneStatus> m_status;
    std::optional<std::uint64_t> m_statusVersion; ///< of the stored status, if it is known
};

} // namespace cuminrelay
