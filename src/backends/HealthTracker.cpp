#include "backends/HealthTracker.h"

#include "base/Hash.h"

#include <algorithm>
#include <chrono>

namespace cuminrelay {

namespace {

    constexpr unsigned c_slowWeight = 1;
    constexpr unsigned c_noAnswerWeight = 2;
    constexpr unsigned c_reportedUnhealthyWeight = 3;
    constexpr unsigned c_suspicionLimit = 6;
    constexpr unsigned c_goodProbesToRecover = 2;

    constexpr Duration c_minimumDownTime = std::chrono::seconds { 2 };
    constexpr Duration c_flapWindow = std::chrono::seconds { 60 };
    constexpr unsigned c_maximumFlapDoublings = 4;

    /// Failures within this time of each other count as one event.
    constexpr Duration c_correlationWindow = std::chrono::seconds { 3 };

    /// Minimum probed backend servers, in a zone and in total, from which a partition is inferred.
    constexpr std::size_t c_minimumZoneSample = 3;
    constexpr std::size_t c_minimumTotalSample = 2;

    constexpr std::size_t c_probersPerBackend = 2;

} // namespace

void HealthTracker::assign(std::span<const ProbedBackend> backends)
{
    std::map<Endpoint, State> kept;
    for (const ProbedBackend& backend : backends) {
        const auto found = m_states.find(backend.m_backend);
        State& state = kept[backend.m_backend];
        if (found != m_states.end())
            state = std::move(found->second);
        state.m_zone = backend.m_zone;
    }
    m_states = std::move(kept);
}

void HealthTracker::record(Endpoint backend, ProbeSignal signal, Instant now)
{
    const auto found = m_states.find(backend);
    if (found == m_states.end())
        return;
    State& state = found->second;
    if (signal == ProbeSignal::NoAnswer && state.m_isAnswering)
        state.m_failingSince = now;
    state.m_isAnswering = signal != ProbeSignal::NoAnswer;
    switch (signal) {
    case ProbeSignal::Good:
        recordGoodSignal(state, now);
        return;
    case ProbeSignal::Slow:
        recordBadSignal(state, c_slowWeight, now);
        return;
    case ProbeSignal::ReportedUnhealthy:
        recordBadSignal(state, c_reportedUnhealthyWeight, now);
        return;
    case ProbeSignal::NoAnswer:
        recordBadSignal(state, c_noAnswerWeight, now);
        return;
    }
}

void HealthTracker::recordGoodSignal(State& state, Instant now)
{
    ++state.m_consecutiveGood;
    if (!state.m_down) {
        state.m_suspicion = 0;
        return;
    }
    if (state.m_consecutiveGood < c_goodProbesToRecover || now < state.m_earliestRecovery)
        return;
    state.m_down = false;
    state.m_suspicion = 0;
    state.m_flapWindowEnds = now + c_flapWindow;
}

void HealthTracker::recordBadSignal(State& state, unsigned weight, Instant now)
{
    state.m_consecutiveGood = 0;
    state.m_suspicion = std::min(state.m_suspicion + weight, c_suspicionLimit);
    if (state.m_down || state.m_suspicion < c_suspicionLimit)
        return;
    state.m_down = true;
    state.m_flaps = now < state.m_flapWindowEnds ? std::min(state.m_flaps + 1, c_maximumFlapDoublings) : 0;
    state.m_earliestRecovery = now + c_minimumDownTime * (1U << state.m_flaps);
}

BackendHealth HealthTracker::health(Endpoint backend) const
{
    const auto found = m_states.find(backend);
    if (found == m_states.end() || !found->second.m_down)
        return BackendHealth::Healthy;
    return isCorrelatedFailure(found->second) ? BackendHealth::Partitioned : BackendHealth::Unhealthy;
}

bool HealthTracker::isCorrelatedFailure(const State& state) const
{
    if (state.m_isAnswering)
        return false;
    std::size_t probedInZone = 0;
    std::size_t failedInZone = 0;
    std::size_t failedInTotal = 0;
    for (const auto& [backend, other] : m_states) {
        const Duration apart = std::chrono::abs(other.m_failingSince - state.m_failingSince);
        const bool isCorrelated = !other.m_isAnswering && apart <= c_correlationWindow;
        failedInTotal += isCorrelated ? 1 : 0;
        if (other.m_zone != state.m_zone)
            continue;
        ++probedInZone;
        failedInZone += isCorrelated ? 1 : 0;
    }
    const bool zoneFailed = probedInZone >= c_minimumZoneSample && failedInZone * 2 > probedInZone;
    const bool allFailed = m_states.size() >= c_minimumTotalSample && failedInTotal == m_states.size();
    return zoneFailed || allFailed;
}

std::vector<Endpoint> probersOf(Endpoint backend, std::string_view zone, std::span<const ProberCandidate> candidates)
{
    std::vector<Endpoint> probers;
    for (const ProberCandidate& candidate : candidates) {
        if (candidate.m_zone == zone)
            probers.push_back(candidate.m_entry);
    }
    if (probers.empty()) {
        for (const ProberCandidate& candidate : candidates)
            probers.push_back(candidate.m_entry);
    }
    std::ranges::sort(probers, std::ranges::greater {},
        [backend](Endpoint entry) { return hashPair(backend.packed(), entry.packed()); });
    if (probers.size() > c_probersPerBackend)
        probers.resize(c_probersPerBackend);
    return probers;
}

} // namespace cuminrelay
