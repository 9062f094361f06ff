#include "pace/PaceTracker.h"

#include <algorithm>
#include <cmath>

namespace cuminrelay {

namespace {

    using std::chrono::milliseconds;

    /// Answers that the prior counts as.
    constexpr double c_priorWeight = 3;

    /// Interval in which the weight of answers halves.
    constexpr Duration c_halfLife = milliseconds { 2'000 };

    /// Age of the load that other VMs report.
    constexpr Duration c_maxLoadAge = milliseconds { 1'000 };

    /// Time after a start or a recovery during which single answers change the factor.
    constexpr Duration c_settlingTime = milliseconds { 3'000 };

    /// Added for each answer to the share that a backend server gets while its load is not known, and the maximum.
    constexpr double c_sharePerAnswer = 0.25;
    constexpr double c_maxShare = 2;

    /// A backend server counts as slow from c_slowRatio on, and until its estimate is below c_notSlowRatio. Work times
    /// scatter as widely as their mean, so a smaller ratio would often be exceeded by chance.
    constexpr double c_slowRatio = 2.0;
    constexpr double c_notSlowRatio = 1.5;
    constexpr double c_maxRatio = 8;

    /// Ratio that a request without an answer counts as.
    constexpr double c_missingRatio = 4;

    /// An answer that is quicker than this part of the mean, while all slots are busy, refuses the request.
    constexpr double c_refusalRatio = 0.2;

    /// A mean ratio below this, of at least c_implausibleWeight answers, comes from errors rather than from speed.
    constexpr double c_implausibleRatio = 0.2;
    constexpr double c_implausibleWeight = 6;

} // namespace

std::string_view paceReasonName(PaceReason reason)
{
    switch (reason) {
    case PaceReason::Steady:
        return "steady";
    case PaceReason::Starting:
        return "starting";
    case PaceReason::Recovering:
        return "recovering";
    case PaceReason::Slow:
        return "slow";
    case PaceReason::Count:
        break;
    }
    return "unknown";
}

void applyPace(const Pace& pace, FlowCandidate& candidate)
{
    candidate.m_workFactor = pace.m_factor;
    // The new request itself takes longer at a slow backend server, even if that is idle. A backend server that has
    // just started or recovered gets flows like its peers while it is idle, or it would stay idle too long.
    candidate.m_addedRequests = pace.m_reason == PaceReason::Slow ? 1 - 1 / pace.m_factor : 0;
    candidate.m_share = pace.m_share;
}

void PaceTracker::recordStart(Deadline warmAt, Instant now)
{
    *this = PaceTracker {};
    m_warmAt = warmAt;
    m_loadKnownAt = now + c_maxLoadAge;
    m_settledAt = std::max(warmAt, now + c_settlingTime);
}

void PaceTracker::recordRecovery(Instant now)
{
    m_loadKnownAt = now + c_maxLoadAge;
    m_settledAt = std::max(m_settledAt, now + c_settlingTime);
    m_isRecovery = true;
    m_isSlow = false;
    // Answers from before, and missing ones, say little about the time after.
    m_weight = 0;
}

void PaceTracker::recordAnswer(const ObservedAnswer& answer, Duration meanWork, Instant now)
{
    if (meanWork <= Duration {})
        return;
    const double mean = static_cast<double>(meanWork.count());
    const bool isRefusal
        = answer.m_load >= answer.m_slots && static_cast<double>(answer.m_time.count()) < c_refusalRatio * mean;
    const double ratio = static_cast<double>(workTimeOf(answer).count()) / mean;
    recordRatio(isRefusal ? c_missingRatio : ratio, now);
}

void PaceTracker::recordMissingAnswer(Instant now)
{
    recordRatio(c_missingRatio, now);
}

void PaceTracker::recordRatio(double ratio, Instant now)
{
    const double weight = remainingWeight(now);
    m_meanRatio = static_cast<float>((m_meanRatio * weight + std::min(ratio, c_maxRatio)) / (weight + 1));
    m_weight = static_cast<float>(weight + 1);
    m_answeredAt = now;
    m_isSlow = estimate(1, now) >= (m_isSlow ? c_notSlowRatio : c_slowRatio);
}

double PaceTracker::remainingWeight(Instant now) const
{
    const std::chrono::duration<double> age = std::max(now - m_answeredAt, Duration {});
    return m_weight > 0 ? m_weight * std::exp2(-age / std::chrono::duration<double> { c_halfLife }) : 0;
}

double PaceTracker::estimate(double prior, Instant now) const
{
    const double weight = remainingWeight(now);
    return (c_priorWeight * prior + weight * m_meanRatio) / (c_priorWeight + weight);
}

Pace PaceTracker::pace(Instant now) const
{
    Pace pace;
    if (now < std::max(m_settledAt, m_warmAt)) {
        const bool isRecovery = m_isRecovery && now < m_settledAt;
        const bool isCold = isRecovery || now < m_warmAt;
        pace.m_factor = std::max(estimate(isCold ? c_warmupFactor : 1, now), 1.0);
        // An announcement does not reduce the share, so that a wrong one leaves the backend server idle for no time.
        const double earned = std::min(1 + c_sharePerAnswer * remainingWeight(now), c_maxShare);
        pace.m_share = now < m_loadKnownAt ? earned / std::max(estimate(1, now), 1.0) : 0;
        pace.m_reason = isRecovery ? PaceReason::Recovering : PaceReason::Starting;
        return pace;
    }
    const double ratio = estimate(1, now);
    if (m_isSlow && ratio >= c_notSlowRatio) {
        pace.m_factor = ratio;
        pace.m_reason = PaceReason::Slow;
    } else if (m_meanRatio < c_implausibleRatio && remainingWeight(now) >= c_implausibleWeight) {
        pace.m_share = 1;
        pace.m_reason = PaceReason::Recovering;
    }
    return pace;
}

} // namespace cuminrelay
