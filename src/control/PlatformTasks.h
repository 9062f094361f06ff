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

/// Tasks that call the platform, one coroutine each: watch the configuration, read the VM list, write the zone's
/// status. If the platform fails or returns invalid data, they retry with backoff and a budget, and the held data stays
/// in force.
class PlatformTasks {
public:
    /// Dependencies of the tasks; all must outlive the executor's context.
    struct Environment {
        PlatformClient& m_client;
        FleetInbox& m_inbox;
        const Clock& m_clock;
        Metrics& m_metrics;
        Log& m_log;
    };

    /// seed: of the jitter; differs between processes.
    PlatformTasks(const boost::asio::any_io_executor& executor, const Environment& environment, std::uint64_t seed);

    void start();

    /// Applies this VM's roles: only assigned readers read the platform.
    void update(const FleetSnapshot& snapshot);

    /// Schedules a write of the status; replaces one that is still pending.
    void writeStatus(ZoneStatus status);

    /// Schedules a read of the VM list, after a connection from an unknown address.
    void requestListRead();

private:
    boost::asio::awaitable<void> watchConfiguration();
    boost::asio::awaitable<void> readLists();
    boost::asio::awaitable<void> writeStatuses();
    boost::asio::awaitable<void> writeOneStatus(const ZoneStatus& status);

    /// Applies the result of a watch. Returns the reason to delay the next watch; empty for none.
    std::string_view applyWatchResult(const Outcome<StoredObject>& object, Instant started);

    boost::asio::awaitable<void> waitForRetry(Backoff& backoff, std::string_view task, std::string_view reason);

    boost::asio::any_io_executor m_executor;
    Environment m_environment;
    std::uint64_t m_seed;
    AsyncSignal m_watchSignal;
    AsyncSignal m_listSignal;
    AsyncSignal m_statusSignal;
    bool m_readsPlatform = true;
    bool m_watchesConfiguration = false;
    std::uint64_t m_heldVersion = 0; ///< of the configuration
    std::uint64_t m_refusedVersion = 0; ///< of the last malformed configuration
    std::optional<ZoneStatus> m_status;
    std::optional<std::uint64_t> m_statusVersion; ///< of the stored status; empty until read
};

} // namespace cuminrelay
