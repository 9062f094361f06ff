#pragma once

#include "base/Time.h"

#include <cstdint>

namespace cuminrelay {

/// Infers a backend server's liveness from the callers' packets that pass an entry VM, because answers go directly to
/// the callers. An acknowledgment of new data shows that the backend server has answered. A retransmitted opening
/// packet, with no answer since its first transmission, shows that the backend server is unresponsive.
class LivenessTracker {
public:
    /// Records that a caller acknowledged new data from the backend server.
    void recordAnswer(Instant now);

    /// Records the retransmission of an opening packet that was first sent at sentAt. No effect if there was an answer
    /// since.
    void recordUnansweredOpening(Instant sentAt);

    /// Records the retransmission of a request that was first sent at sentAt. A busy backend server may acknowledge a
    /// request only with its answer, so one retransmission counts only where answers are frequent.
    void recordUnansweredData(Instant sentAt);

    /// Records that another entry VM found the backend server dead. No effect shortly after an answer.
    void recordHint(Instant now);

    /// Whether new flows should go elsewhere, until the backend server answers a caller or a probe.
    bool isUnresponsive() const { return m_unresponsiveSince != Instant {}; }

    /// Whether a packet went unanswered, here or at another entry VM, with no answer since: reason to probe the backend
    /// server.
    bool isSuspected() const { return m_suspectedSince != Instant {}; }

    bool hasAnsweredWithin(Duration duration, Instant now) const
    {
        return m_answeredAt != Instant {} && now - m_answeredAt < duration;
    }

    /// Discards the evidence against the backend server, such as after a pause of this process.
    void clearSuspicion();

    Instant answeredAt() const { return m_answeredAt; }
    std::uint32_t unanswered() const { return m_unanswered; }

private:
    Instant m_answeredAt {}; ///< last answer; epoch: none
    Instant m_unresponsiveSince {}; ///< oldest unanswered opening packet, or a hint; epoch: none
    Instant m_suspectedSince {}; ///< oldest unanswered packet that counts, or a hint; epoch: none
    std::uint32_t m_unanswered = 0; ///< callers' retransmissions since the last answer
};

} // namespace cuminrelay
