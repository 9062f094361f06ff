#include "exchange/FetchSchedule.h"

namespace cuminrelay {

namespace {

    /// Allows many round trips between zones.
    constexpr Duration c_connectTimeout = std::chrono::milliseconds { 300 };

    /// Time for an answer to begin on a new connection, and on the kept one, which may have gone silent.
    constexpr Duration c_answerTimeout = std::chrono::milliseconds { 700 };
    constexpr Duration c_keptAnswerTimeout = std::chrono::milliseconds { 300 };

    /// A large answer may wait for a slow link; a second request would add to its load.
    constexpr Duration c_bodyTimeout = std::chrono::milliseconds { 2'000 };

    /// Less than the server's idle time-out of 5 s.
    constexpr Duration c_keepAliveTime = std::chrono::seconds { 4 };

    FetchSchedule::Attempt onNewConnection(Instant now)
    {
        return { false, now + c_connectTimeout, now + c_connectTimeout + c_answerTimeout };
    }

} // namespace

FetchSchedule::Attempt FetchSchedule::begin(Endpoint peer, bool hasConnection, Instant now) const
{
    if (hasConnection && peer == m_keptPeer && now < m_keptUntil)
        return { true, {}, now + c_keptAnswerTimeout };
    return onNewConnection(now);
}

std::optional<FetchSchedule::Attempt> FetchSchedule::next(const Attempt& failed, Instant now)
{
    return failed.m_isOnKeptConnection ? std::optional { onNewConnection(now) } : std::nullopt;
}

Deadline FetchSchedule::completeBy(Instant now)
{
    return now + c_bodyTimeout;
}

void FetchSchedule::keepConnection(Endpoint peer, Instant now)
{
    m_keptPeer = peer;
    m_keptUntil = now + c_keepAliveTime;
}

} // namespace cuminrelay
