#include "bench/AttemptServer.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_queueLimit = 12;
    constexpr double c_runsPerSecond = 20; ///< per slot
    constexpr double c_slowFactor = 6;
    constexpr Duration c_handshakeTime = std::chrono::milliseconds { 1 };

} // namespace

AttemptServer::AttemptServer(Endpoint endpoint, std::uint64_t seed, Timeline& timeline, AttemptServerListener& listener)
    : m_endpoint(endpoint)
    , m_random(seed)
    , m_timeline(timeline)
    , m_listener(listener)
{
}

void AttemptServer::receive(const DispatchedAttempt& attempt)
{
    if (!m_received.insert(attempt.m_attempt).second)
        return;
    if (!m_isRunning || m_queue.size() >= c_queueLimit) {
        m_listener.refused(attempt);
        return;
    }
    m_queue.push_back(attempt);
    m_listener.accepted(attempt);
    m_timeline.after(c_handshakeTime, [this] { startQueued(); });
}

void AttemptServer::cancel(AttemptId attempt)
{
    const auto found = std::ranges::find(m_queue, attempt, &DispatchedAttempt::m_attempt);
    if (found == m_queue.end())
        return;
    const DispatchedAttempt cancelled = *found;
    m_queue.erase(found);
    m_listener.shed(cancelled);
}

void AttemptServer::kill()
{
    if (!m_isRunning)
        return;
    m_isRunning = false;
    ++m_process;
    if (!m_started.empty())
        m_listener.answered(m_started.front(), false);
    for (std::size_t i = 1; i < m_started.size(); ++i)
        m_listener.lost(m_started[i]);
    for (const DispatchedAttempt& attempt : m_queue)
        m_listener.lost(attempt);
    m_started.clear();
    m_queue.clear();
}

void AttemptServer::shedUntil(Deadline end)
{
    m_shedUntil = end;
    startQueued();
}

BackendReport AttemptServer::report() const
{
    BackendReport report;
    report.m_backend = m_endpoint;
    report.m_measuredAt = m_timeline.now();
    if (m_timeline.now() < m_reportIdleUntil)
        return report;
    report.m_shedding = m_timeline.now() < m_shedUntil;
    report.m_connections = static_cast<std::uint32_t>(m_queue.size() + m_started.size());
    report.m_busySlots = static_cast<std::uint16_t>(m_started.size());
    report.m_queued = static_cast<std::uint16_t>(m_queue.size());
    return report;
}

void AttemptServer::startQueued()
{
    while (!m_queue.empty()) {
        const bool isShedding = m_timeline.now() < m_shedUntil;
        if (!isShedding && m_started.size() >= s_slots)
            return;
        const DispatchedAttempt next = m_queue.front();
        m_queue.pop_front();
        if (isShedding || m_timeline.now() >= next.m_deadline)
            m_listener.shed(next);
        else
            start(next);
    }
}

void AttemptServer::start(const DispatchedAttempt& attempt)
{
    const double factor = m_timeline.now() < m_slowUntil ? c_slowFactor : 1;
    const std::chrono::duration<double> length { m_random.exponentialSeconds(c_runsPerSecond) * factor };
    m_started.push_back(attempt);
    m_timeline.after(std::chrono::duration_cast<Duration>(length),
        [this, attempt, process = m_process] { finish(attempt, process); });
    m_listener.started(attempt);
}

void AttemptServer::finish(const DispatchedAttempt& attempt, std::uint64_t process)
{
    if (process != m_process)
        return;
    std::erase_if(
        m_started, [&attempt](const DispatchedAttempt& started) { return started.m_attempt == attempt.m_attempt; });
    m_listener.answered(attempt, true);
    startQueued();
}

} // namespace cuminrelay
