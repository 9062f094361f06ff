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


    /// Whether the last call was answered.
    bool isInContact() const { return m_isInContact; }

    /// When the last answer came; epoch before the first.
    Instant answeredAt() const { return m_answeredAt; }

    StoreRevision revision() const { return m_revision; }

protected:
    /// Reads everything and hands it on.
    virtual boost::asio::awaitable<Outcome<StoreRevision>> takeAll(Deadline deadline) = 0;

    /// Waits for changes after a revision and hands them on.
    virtual boost::asio::awaitable<Outcome<StoreRevision>> takeChanges(
        StoreRevision known, Deadline waitUntil, Deadline deadline)
        = 0;

    /// Called when contact is lost and when it is regained.
    virtual void contactChanged(bool isInContact) = 0;

    const WatchEnvironment& environment() const { return m_environment; }

private:
    boost::asio::awaitable<Outcome<StoreRevision>> takeNext();
    boost::asio::awaitable<void> pauseAfter(const Error& error);
    void noteContact(bool isInContact, std::string_view reason);

    std::string m_name;
    WatchEnvironment m_environment;
    Backoff m_backoff;
    StoreRevision m_revision;
    Instant m_answeredAt {};
    bool m_hasAll = false;
    bool m_isInContact = false;
    bool m_hasReported = false;
};

} // namespace cuminrelay
