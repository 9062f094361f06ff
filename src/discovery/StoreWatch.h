#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "discovery/Discovery.h"
#include "discovery/WatchSchedule.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrelay {

/// The dependencies of a watch. All objects must outlive it.
struct WatchEnvironment {
    const Clock& m_clock;
    Metrics& m_metrics;
    Log& m_log;
};

/// Follows one kind of object in the store: reads all objects, then waits for changes, and reads all objects again if
/// the store no longer holds the changes since the last revision. Runs as one task. After a failure it continues from
/// the last revision after an exponential backoff; the state read before stays in force.
class StoreWatch {
public:
    /// maxWait: how long a call waits for changes.
    StoreWatch(std::string name, WatchEnvironment environment, std::uint64_t seed,
        Duration maxWait = WatchSchedule::s_maxWait);
    StoreWatch(const StoreWatch&) = delete;
    StoreWatch& operator=(const StoreWatch&) = delete;
    virtual ~StoreWatch() = default;

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();

    /// Sets whether to follow the store after the first complete read; false at first. While false, updates come from
    /// other VMs. A pending call is not cancelled.
    void setReading(bool reading);

    /// Makes one call that does not wait, so that confirmedAt() advances. Without effect while a call is pending.
    void confirm();

    /// Records that other VMs have sent all changes up to a revision.
    void advanceTo(StoreRevision revision) { m_schedule.advanceTo(revision); }

    /// Records that the process was paused. What the store told before may be outdated: the watch follows it again only
    /// after an answer at or after this time.
    void distrustAnswersBefore(Instant resumedAt) { m_schedule.distrustAnswersBefore(resumedAt); }

    /// Whether this watch follows the store and the last call was answered.
    bool isFollowing() const { return m_schedule.isFollowing(); }

    /// The latest time as of which the state read is known to have been the store's; epoch: never.
    Instant confirmedAt() const { return m_schedule.confirmedAt(); }

protected:
    /// Reads all objects and notifies the listener.
    virtual boost::asio::awaitable<Outcome<StoreAnswer>> readAll(Deadline deadline) = 0;

    /// Waits for changes after a revision and notifies the listener. Without changes, the store answers at waitUntil.
    virtual boost::asio::awaitable<Outcome<StoreAnswer>> readChanges(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
        = 0;

private:
    boost::asio::awaitable<Outcome<StoreAnswer>> call();
    boost::asio::awaitable<void> waitForRequest();
    Deadline recordFailure(const Error& error, Instant now);
    void logContact(bool isInContact, std::string_view reason);

    std::string m_name;
    WatchEnvironment m_environment;
    WatchSchedule m_schedule;
    boost::asio::steady_timer* m_idleTimer = nullptr; ///< set while the task waits for a request to call the store
    std::optional<bool> m_loggedContact; ///< whether the last call was answered
};

} // namespace cuminrelay
