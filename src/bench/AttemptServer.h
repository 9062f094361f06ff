#pragma once

#include "attempts/Attempt.h"
#include "backends/BackendStatusTable.h"
#include "bench/FleetDesign.h"
#include "bench/Random.h"
#include "bench/Timeline.h"

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace cuminrelay {

/// An attempt sent to a backend server on its own connection.
struct DispatchedAttempt {
    AttemptId m_attempt;
    Endpoint m_backend;
    Deadline m_deadline {};
    Instant m_dispatchedAt {};
    VmIndex m_vm = 0;
    std::uint64_t m_process = 0; ///< of the entry VM; changes with each restart
};

/// Receives the events of attempts at a simulated backend server.
class AttemptServerListener {
public:
    AttemptServerListener() = default;
    AttemptServerListener(const AttemptServerListener&) = delete;
    AttemptServerListener& operator=(const AttemptServerListener&) = delete;
    virtual ~AttemptServerListener() = default;

    virtual void accepted(const DispatchedAttempt& attempt) = 0;
    virtual void refused(const DispatchedAttempt& attempt) = 0;
    virtual void shed(const DispatchedAttempt& attempt) = 0;
    virtual void started(const DispatchedAttempt& attempt) = 0;
    virtual void answered(const DispatchedAttempt& attempt, bool isComplete) = 0;
    virtual void lost(const DispatchedAttempt& attempt) = 0;
};

/// A simulated backend server with slots and a bounded queue. It refuses attempts in the handshake while it is stopped
/// or the queue is full, and sheds a queued attempt instead of starting it at or after its deadline.
class AttemptServer {
public:
    static constexpr std::uint16_t s_slots = 2;

    AttemptServer(Endpoint endpoint, std::uint64_t seed, Timeline& timeline, AttemptServerListener& listener);

    /// Ignores duplicates of a received attempt, as TCP does.
    void receive(const DispatchedAttempt& attempt);

    /// Sheds the attempt if it has not started.
    void cancel(AttemptId attempt);

    /// Loses running and queued attempts. The answer of one running attempt is truncated.
    void kill();
    void restart() { m_isRunning = true; }

    void slowDownUntil(Deadline end) { m_slowUntil = end; }
    void shedUntil(Deadline end);
    void reportIdleUntil(Deadline end) { m_reportIdleUntil = end; }

    Endpoint endpoint() const { return m_endpoint; }
    bool isRunning() const { return m_isRunning; }
    BackendReport report() const;

private:
    void startQueued();
    void start(const DispatchedAttempt& attempt);
    void finish(const DispatchedAttempt& attempt, std::uint64_t process);

    Endpoint m_endpoint;
    Random m_random;
    Timeline& m_timeline;
    AttemptServerListener& m_listener;
    std::deque<DispatchedAttempt> m_queue;
    std::vector<DispatchedAttempt> m_started;
    std::set<AttemptId> m_received;
    std::uint64_t m_process = 0;
    bool m_isRunning = true;
    Deadline m_slowUntil {};
    Deadline m_shedUntil {};
    Deadline m_reportIdleUntil {};
};

} // namespace cuminrelay
