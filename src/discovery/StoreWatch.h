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

/// What a watch uses of its process. Everything must outlive it.
struct WatchEnvironment {
    const Clock& m_clock;
    Metrics& m_metrics;
    Log& m_log;
};

/// Follows one kind of object: reads all of it, then waits for changes for as long as the store remembers them, and
/// begins again when it does not. One task, written straight down. After a failure it goes on from where it was, after
/// an exponential delay, and what was learnt stays in force meanwhile.
class StoreWatch {
public:
    StoreWatch(std::string name, WatchEnvironment environment, std::uint64_t seed);
    StoreWatch(const StoreWatch&) = delete;
    StoreWatch& operator=(const StoreWatch&) = delete;
    virtual ~StoreWatch() = default;

    /// Runs for as long as the process does.
    boost::asio::awaitable<void> run();

    /// Whether to follow the store once all was read; at first it does not. While it does not, others tell what is
    /// new; a call that waits is not given up.
    void setReading(bool reading);

    /// Others have told everything up to a revision.
    void advanceTo(StoreRevision revision);

    /// Whether it follows the store and the last call was answered.
    bool isFollowing() const { return m_isReading && m_isInContact; }

    /// When the store answered last; epoch: never.
    Instant answeredAt() const { return m_answeredAt; }

protected:
    /// Reads everything and hands it on.
    virtual boost::asio::awaitable<Outcome<StoreRevision>> takeAll(Deadline deadline) = 0;

    /// Waits for changes after a revision and hands them on.
    virtual boost::asio::awaitable<Outcome<StoreRevision>> takeChanges(
        StoreRevision known, Deadline waitUntil, Deadline deadline)
        = 0;

private:
    boost::asio::awaitable<Outcome<StoreRevision>> takeNext();
    boost::asio::awaitable<void> pauseAfter(const Error& error);
    boost::asio::awaitable<void> waitUntilReading();
    void noteContact(bool isInContact, std::string_view reason);

    std::string m_name;
    WatchEnvironment m_environment;
    Backoff m_backoff;
    StoreRevision m_revision;
    bool m_hasAll = false;
    bool m_isReading = false;
    boost::asio::steady_timer* m_idle = nullptr; ///< set while the task waits for setReading
    bool m_isInContact = false;
    Instant m_answeredAt {};
    bool m_hasReported = false;
};

} // namespace cuminrelay
