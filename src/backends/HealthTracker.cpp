#include "backends/HealthTracker.h"

#include "base/Hash.h"

#include <algorithm>
#include <chrono>

namespace cuminrelay {

namespace {

    constexpr unsigned c_slowWeight = 1;
    constexpr unsigned c_noAnswerWeight = 2;
    constexpr unsigned c_reportedWeight = 3;
    constexpr unsigned c_downAtSuspicion = 6;
    constexpr unsigned c_goodInARowToComeUp = 2;

    constexpr Duration c_stayDown = std::chrono::seconds { 2 };
    constexpr Duration c_calm = std::chrono::seconds { 60 };
    constexpr unsigned c_maximumFlapDoublings = 4;

    /// Failures within this time of each other count as one event.
    constexpr Duration c_togetherWindow = std::chrono::seconds { 3 };

    /// Minimum number of probed backend servers in a zone from which a failure of the zone is inferred.
    constexpr std::size_t c_smallestZoneSample = 3;
    constexpr std::size_t c_smallestSample = 2;

    constexpr std::size_t c_probersOfABackend = 2;

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

void HealthTracker::note(Endpoint backend, ProbeSignal signal, Instant now)
{
    const auto found = m_states.find(backend);
    if (found == m_states.end())
        return;
    State& state = found->second;
    if (signal == ProbeSignal::NoAnswer && state.m_answers)
        state.m_failingSince = now;
    state.m_answers = signal != ProbeSignal::NoAnswer;
    switch (signal) {
    case ProbeSignal::Good:
        noteGood(state, now);
        return;
    case ProbeSignal::Slow:
        noteBad(state, c_slowWeight, now);
        return;
    case ProbeSignal::ReportedUnhealthy:
        noteBad(state, c_reportedWeight, now);
        return;
    case ProbeSignal::NoAnswer:
        noteBad(state, c_noAnswerWeight, now);
        return;
    }
}

void HealthTracker::noteGood(State& state, Instant now)
{
    ++state.m_goodInARow;
    if (!state.m_down) {
        state.m_suspicion = 0;
        return;
    }
    if (state.m_goodInARow < c_goodInARowToComeUp || now < state.m_upNotBefore)
        return;
    state.m_down = false;
    state.m_suspicion = 0;
    state.m_calmAt = now + c_calm;
}

void HealthTracker::noteBad(State& state, unsigned weight, Instant now)
{
    state.m_goodInARow = 0;
    state.m_suspicion = std::min(state.m_suspicion + weight, c_downAtSuspicion);
    if (state.m_down || state.m_suspicion < c_downAtSuspicion)
        return;
    state.m_down = true;
    state.m_flaps = now < state.m_calmAt ? std::min(state.m_flaps + 1, c_maximumFlapDoublings) : 0;
    state.m_upNotBefore = now + c_stayDown * (1U << state.m_flaps);
}

BackendHealth HealthTracker::health(Endpoint backend) const
{
    const auto found = m_states.find(backend);
    if (found == m_states.end() || !found->second.m_down)
        return BackendHealth::Healthy;
    return failedTogether(found->second) ? BackendHealth::BeyondCut : BackendHealth::Unhealthy;
}

bool HealthTracker::failedTogether(const State& state) const
{
    if (state.m_answers)
        return false;
    std::size_t ofZone = 0;
    std::size_t ofZoneTogether = 0;
    std::size_t together = 0;
    for (const auto& [backend, other] : m_states) {
        const Duration apart = std::chrono::abs(other.m_failingSince - state.m_failingSince);
        const bool failedWithIt = !other.m_answers && apart <= c_togetherWindow;
        together += failedWithIt ? 1 : 0;
        if (other.m_zone != state.m_zone)
            continue;
        ++ofZone;
        ofZoneTogether += failedWithIt ? 1 : 0;
    }
    const bool zoneFailed = ofZone >= c_smallestZoneSample && ofZoneTogether * 2 > ofZone;
    const bool allFailed = m_states.size() >= c_smallestSample && together == m_states.size();
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
    if (probers.size() > c_probersOfABackend)
        probers.resize(c_probersOfABackend);
    return probers;
}

} // namespace cuminrelay
