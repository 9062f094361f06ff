#pragma once

#include "base/Time.h"

#include <cstdint>

namespace cuminrelay {

/// What the packets that pass an entry VM show of one backend server's life. Answers go straight to the caller; a
/// caller that acknowledges something new shows that its backend server has answered. An opening that the caller sends
/// again, without any such sign since it was first sent, shows that the backend server is silent.
class LifeSigns {
public:
    /// A caller has acknowledged something new from the backend server.
    void noteAnswer(Instant now);

    /// An opening that was first sent there at sentAt is sent again: it was not answered in time. Nothing when there
    /// was an answer since.
    void noteUnansweredOpening(Instant sentAt);

    /// A request that was first sent there at sentAt is sent again. A backend server that is busy acknowledges a single
    /// packet with its answer; one such request counts only where answers are frequent.
    void noteUnansweredData(Instant sentAt);

    /// Another entry VM finds the backend server silent.
    void noteHint(Instant now);

    /// Whether new flows should go elsewhere, until it answers: a caller, or when it is asked because of the doubt.
    bool isSilent() const { return m_silentSince != Instant {}; }

    /// Whether something went unanswered, here or at another entry VM, and nothing was answered since: grounds to ask
    /// the backend server itself.
    bool isDoubted() const { return m_doubtedSince != Instant {}; }

    /// Whether it was heard within a duration before now.
    bool hasAnsweredWithin(Duration duration, Instant now) const
    {
        return m_answeredAt != Instant {} && now - m_answeredAt < duration;
    }

    /// Forgets what was held against the backend server, such as after this process was paused.
    void forgive();

    Instant answeredAt() const { return m_answeredAt; }
    std::uint32_t unanswered() const { return m_unanswered; }

private:
    Instant m_answeredAt {}; ///< epoch: never
    Instant m_silentSince {}; ///< when the oldest opening was sent that is unanswered; epoch: none
    Instant m_doubtedSince {}; ///< likewise for anything that was sent
    std::uint32_t m_unanswered = 0; ///< callers' repetitions since the last answer
};

} // namespace cuminrelay
