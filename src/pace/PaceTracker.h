#pragma once

#include "base/Time.h"
#include "pace/AnswerBaseline.h"
#include "placement/FlowPlacement.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// Why a backend server gets less work than its load suggests.
enum class PaceReason : std::uint8_t {
    Steady, ///< it does not
    Starting, ///< has started
    Recovering, ///< answers again after a time without answers, or returned otherwise
    Slow, ///< its answers take clearly longer than those of the service's other backend servers
    Count,
};

/// Factor by which work takes longer during an announced warm-up, as long as answers show nothing else.
inline constexpr double c_warmupFactor = 1.6;

inline constexpr std::size_t c_paceReasons = static_cast<std::size_t>(PaceReason::Count);

/// Returns the name in logs and gauges.
std::string_view paceReasonName(PaceReason reason);

/// How much work a backend server may get compared with its peers.
struct Pace {
    double m_factor = 1; ///< by which its expected work is multiplied; at least 1
    double m_share = 0; ///< of the new flows, as a multiple of an even share; 0: as its load suggests
    PaceReason m_reason = PaceReason::Steady;
};

/// Applies a pace to placement's input.
void applyPace(const Pace& pace, FlowCandidate& candidate);

/// Derives the pace of one backend server from its answers to the requests that pass this entry VM. The estimate is the
/// mean of the answers' work times relative to the service's, and of a prior that counts as a few answers. The weight
/// of answers halves at a fixed interval, so that the estimate returns to the prior when no more answers arrive. The
/// prior is that of the announced warm-up, a cautious one after a recovery, and otherwise 1.
///
/// After a start or a recovery, the known load is that of the time before, because the load that other VMs report is
/// up to a second old. During that time the backend server gets a share of the new flows that does not depend on it.
class PaceTracker {
public:
    /// Records that the backend server has started; warmAt: end of the announced warm-up.
    void recordStart(Deadline warmAt, Instant now);

    /// Records that the backend server, which got no new flows, may get them again.
    void recordRecovery(Instant now);

    /// Sets the end of the announced warm-up, which a running backend server may change.
    void setWarmAt(Deadline warmAt) { m_warmAt = warmAt; }

    /// Records an answer; meanWork: mean work time of the service, zero if unknown.
    void recordAnswer(const ObservedAnswer& answer, Duration meanWork, Instant now);

    /// Records that a request or an opening packet went unanswered and was sent again.
    void recordMissingAnswer(Instant now);

    Pace pace(Instant now) const;

private:
    void recordRatio(double ratio, Instant now);

    /// Returns the weight of the recorded answers that is left.
    double remainingWeight(Instant now) const;
    double estimate(double prior, Instant now) const;

    Deadline m_warmAt {}; ///< end of the announced warm-up
    Deadline m_loadKnownAt {}; ///< when other VMs' reports show the load since the start or recovery
    Deadline m_settledAt {}; ///< end of the start or recovery
    Instant m_answeredAt {}; ///< last record, as of which m_weight and m_meanRatio hold
    float m_weight = 0; ///< number of answers in m_meanRatio, less with their age
    float m_meanRatio = 1; ///< work time relative to the service's mean
    bool m_isRecovery = false; ///< what m_settledAt ends
    bool m_isSlow = false; ///< by the last answer
};

} // namespace cuminrelay
