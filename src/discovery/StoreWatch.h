#pragma once

#include "base/Backoff.h"
#include "base/Error.h"
#include "base/Time.h"
#include "discovery/Discovery.h"
#include "observe/Log.h"
#include "observe/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
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
    StoreWatch(std::string name, WatchEnvironment environment, std::uint64_t seed);
    StoreWatch(const StoreWatch&) = delete;
    StoreWatch& operator=(const StoreWatch&) = delete;
    virtual ~StoreWatch() = default;

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();

    /// Sets whether to follow the store after the first complete read; false at first. While false, updates come from
    /// other VMs. A pending call is not cancelled.
    void setReading(bool reading);

    /// Records that other VMs have sent all changes up to a revision.
    void advanceTo(StoreRevision revision);

    /// Records that the process was paused. What the store told before may be outdated: the watch follows it again only
    /// after an answer at or after this time.
    void distrustAnswersBefore(Instant resumedAt) { m_trustedFrom = resumedAt; }

    /// Whether this watch follows the store and the last call was answered.
    bool isFollowing() const { return m_isReading && m_isInContact && m_answeredAt >= m_trustedFrom; }

    /// Time of the store's last answer; epoch: never.
    Instant answeredAt() const { return m_answeredAt; }

protected:
    /// Reads all objects and notifies the listener. Returns the revision read.
    virtual boost::asio::awaitable<Outcome<StoreRevision>> readAll(Deadline deadline) = 0;

    /// Waits for changes after a revision and notifies the listener. Returns the last revision.
    virtual boost::asio::awaitable<Outcome<StoreRevision>> readChanges(
        StoreRevision afterRevision, Deadline waitUntil, Deadline deadline)
        = 0;

private:
    boost::asio::awaitable<Outcome<StoreRevision>> readNext();
    boost::asio::awaitable<void> pauseAfter(const Error& error);
    boost::asio::awaitable<void> waitUntilReading();
    void recordContact(bool isInContact, std::string_view reason);

    std::string m_name;
    WatchEnvironment m_environment;
    Backoff m_backoff;
    StoreRevision m_revision;
    bool m_hasCompleteState = false;
    bool m_isReading = false;
    boost::asio::steady_timer* m_idleTimer = nullptr; ///< set while the task waits for setReading
    bool m_isInContact = false;
    Instant m_answeredAt {};
    Instant m_trustedFrom {}; ///< earlier answers may be outdated
    bool m_hasLoggedContact = false;
};

} // namespace cuminrelay
