#pragma once

#include "base/Backoff.h"
#include "base/Error.h"
#include "base/Time.h"
#include "discovery/Discovery.h"

#include <cstdint>
#include <optional>

namespace cuminrelay {

/// A successful answer of the store.
struct StoreAnswer {
    StoreRevision m_revision; ///< up to which the answer is complete
    bool m_hasChanges = false; ///< the answer contained objects
};

/// Decides when a watch calls the store, how long a call may wait, and what an answer proves. While the watch follows
/// the store, its calls wait for changes; the end of a wait without changes confirms that the state is current.
class WatchSchedule {
public:
    /// How long a call waits for changes, unless the constructor says otherwise. The state of a VM that follows the
    /// store is confirmed at least this often.
    static constexpr Duration s_maxWait = std::chrono::milliseconds { 1'000 };

    /// After the store came back from an older copy, the backend servers and operators write again what it lacks within
    /// this time. Live backend servers do so within two seconds.
    static constexpr Duration s_restoreSettleTime = std::chrono::milliseconds { 2'500 };

    struct Call {
        bool m_readsAll = false; ///< read all objects, not the changes after revision()
        Deadline m_waitUntil {}; ///< without changes, the store answers then; the time of the call if it must not wait
        Deadline m_deadline {};
    };

    WatchSchedule(std::uint64_t seed, Instant now, Duration maxWait = s_maxWait);

    /// Whether a call is due once the last one has ended and its pause is over.
    bool needsCall() const { return !m_hasCompleteState || m_isReading || m_isConfirming; }

    /// Begins a call. Report its outcome to recordAnswer or recordFailure.
    Call begin(Instant now);

    /// Applies the answer to the current call. Returns the earliest time of the next call. An answer of an earlier era
    /// than that of revision() counts as a failure.
    Deadline recordAnswer(const StoreAnswer& answer, Instant now);

    /// As recordAnswer, for a call that failed. Stale: the store no longer holds the changes since revision().
    Deadline recordFailure(ErrorKind kind, Instant now);

    /// Sets whether to follow the store after the first complete read; false at first.
    void setReading(bool reading) { m_isReading = reading; }

    /// Requests one call that does not wait.
    void confirm() { m_isConfirming = true; }

    /// Records that other VMs have sent all changes up to a revision. Earlier confirmations do not count in a newer
    /// era.
    void advanceTo(StoreRevision revision);

    /// Records that the process was paused: earlier answers may be outdated.
    void distrustAnswersBefore(Instant resumedAt) { m_trustedFrom = resumedAt; }

    StoreRevision revision() const { return m_revision; }

    /// Whether the watch follows the store and the last call was answered.
    bool isFollowing() const { return m_isReading && isInContact(); }

    /// The latest time as of which the state read is known to have been the store's, in the era of revision(); epoch:
    /// never. Earlier than the last answer, which does not tell when the store composed it.
    Instant confirmedAt() const { return m_confirmedAt; }

private:
    /// Begins the era of a revision if it is newer than that of m_revision.
    void beginEra(StoreRevision revision);
    bool isInContact() const { return m_isAnswered && m_answeredAt >= m_trustedFrom; }

    const Duration m_maxWait; ///< of a call that waits for changes
    Backoff m_backoff;
    StoreRevision m_revision;
    Call m_call;
    Instant m_calledAt {};
    bool m_hasCompleteState = false;
    bool m_isReading = false;
    bool m_isConfirming = false; ///< the next call does not wait
    bool m_isAnswered = false; ///< the last call was
    Instant m_answeredAt {}; ///< last answer; epoch: none
    Instant m_trustedFrom {}; ///< earlier answers may be outdated
    Instant m_confirmedAt {};
    std::optional<Deadline> m_readAllAt; ///< after a restore, when the store has got what its copy lacked
};

} // namespace cuminrelay
