#include "placement/BoundedLoadPlacement.h"

#include "backends/Eligibility.h"
#include "base/Hash.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr Duration c_answerTimeout = std::chrono::seconds { 3 };
    constexpr std::uint32_t c_silentOpenings = 3;
    constexpr int c_drawRounds = 4;

    // From this mean on, a backend server with less than this fraction of the mean connections has sent a wrong report
    // or has just started. It gets only the flows that it is the default of.
    constexpr double c_leastMeanConnections = 50;
    constexpr double c_plausibleLoad = 0.6;

    // Salts that make the draws for one flow independent of each other and of its default backend server.
    constexpr std::uint64_t c_coldSalt = 0x636f6c64;
    constexpr std::uint64_t c_silentSalt = 0x73696c65;
    constexpr std::uint64_t c_choiceSalt = 0x63686f69;
    constexpr std::uint64_t c_heldSalt = 0x68656c64;

    // Free slots assumed where stragglers occupy all slots, so that loads stay finite and comparable.
    constexpr double c_leastFreeSlots = 0.25;

    /// Returns a number in [0, 1) that depends on the flow and the salt only.
    double drawUniform(std::uint64_t flowHash, std::uint64_t salt)
    {
        constexpr int unusedBits = 11;
        constexpr double scale = 1.0 / (std::uint64_t { 1 } << 53U);
        return static_cast<double>(hashPair(flowHash, salt) >> unusedBits) * scale;
    }

    double coldStartShare(const BackendStatus& status, double coldShare, Instant now)
    {
        if (now >= status.m_rampEnds)
            return 1;
        const double whole = static_cast<double>((status.m_rampEnds - status.m_rampBegan).count());
        const double done = std::max(0.0, static_cast<double>((now - status.m_rampBegan).count()));
        return coldShare + (1 - coldShare) * done / whole;
    }

    bool leavesOpeningsUnanswered(const BackendStatus& status, Instant now)
    {
        return status.m_unprovenOpenings >= c_silentOpenings && now - status.m_unprovenSince >= c_answerTimeout;
    }

} // namespace

std::optional<Endpoint> BoundedLoadPlacement::choose(
    const PlacementRequest& request, const BackendBoard& board, Instant now)
{
    collectEligible(request, board, now);
    if (m_eligible.empty())
        return std::nullopt;
    distrustIdleReports();
    m_hasIdleHalf = isHalfIdle();
    markHeldSlots();
    markBusy();
    ignoreCommonReasons();
    const auto position = std::find_if(m_eligible.begin(), m_eligible.end(),
        [&request](const Candidate& candidate) { return candidate.m_backend == request.m_default; });
    if (position != m_eligible.end() && keepsDefault(*position, request.m_flowHash))
        return request.m_default;
    return drawLeastLoaded(request.m_flowHash).m_backend;
}

void BoundedLoadPlacement::collectEligible(const PlacementRequest& request, const BackendBoard& board, Instant now)
{
    m_eligible.clear();
    double connections = 0;
    double largestShare = 0;
    for (const Endpoint backend : request.m_candidates) {
        const BackendStatus* const status = board.find(backend);
        if (eligibilityOf(status, board, now) != Eligibility::Eligible)
            continue;
        Candidate& candidate = m_eligible.emplace_back();
        candidate.m_backend = backend;
        candidate.m_status = status;
        candidate.m_connections = board.estimatedConnections(*status, now);
        candidate.m_hasFreshReport = status->hasFreshReport(now);
        candidate.m_share = coldStartShare(*status, m_parameters.m_coldShare, now);
        candidate.m_isSilent = leavesOpeningsUnanswered(*status, now);
        connections += candidate.m_connections;
        largestShare = std::max(largestShare, candidate.m_share);
    }
    // While all backend servers are in their cold start, none can take the rest of the shares.
    for (Candidate& candidate : m_eligible)
        candidate.m_share /= largestShare;
    m_meanConnections = m_eligible.empty() ? 0 : connections / static_cast<double>(m_eligible.size());
}

void BoundedLoadPlacement::distrustIdleReports()
{
    if (m_meanConnections < c_leastMeanConnections)
        return;
    const double plausible = c_plausibleLoad * m_meanConnections;
    for (Candidate& candidate : m_eligible)
        candidate.m_isImplausible = candidate.m_connections < plausible;
}

bool BoundedLoadPlacement::isHalfIdle() const
{
    const std::ptrdiff_t idle = std::count_if(m_eligible.begin(), m_eligible.end(), [this](const Candidate& candidate) {
        const bool isQueued = candidate.m_hasFreshReport && candidate.m_status->m_report.m_queued > 0;
        return !isQueued && candidate.m_connections <= m_parameters.m_idleConnections;
    });
    return 2 * static_cast<std::size_t>(idle) >= m_eligible.size();
}

void BoundedLoadPlacement::markHeldSlots()
{
    for (Candidate& candidate : m_eligible) {
        const BackendStatus& status = *candidate.m_status;
        std::uint32_t held = status.m_ownStragglers;
        if (m_hasIdleHalf && candidate.m_hasFreshReport)
            held = std::max<std::uint32_t>(held, status.m_busySlots.fewest());
        candidate.m_heldSlots = std::min<std::uint32_t>(held, status.m_slots);
    }
}

void BoundedLoadPlacement::markBusy()
{
    double queued = 0;
    for (const Candidate& candidate : m_eligible)
        queued += candidate.m_hasFreshReport ? candidate.m_status->m_report.m_queued : 0;
    const double meanQueued = queued / static_cast<double>(m_eligible.size());
    const double ordinaryQueue = m_hasIdleHalf ? 0 : m_parameters.m_queueFactor * meanQueued;
    m_anyWithoutHold = false;
    for (Candidate& candidate : m_eligible) {
        const BackendStatus& status = *candidate.m_status;
        const bool queueStandsOut = candidate.m_hasFreshReport && status.m_report.m_queued > status.m_slots
            && status.m_report.m_queued > ordinaryQueue;
        if (queueStandsOut || candidate.m_heldSlots >= status.m_slots)
            candidate.m_hold = Hold::AllSlots;
        else if (candidate.m_heldSlots > 0)
            candidate.m_hold = Hold::SomeSlots;
        candidate.m_isBusy = candidate.m_hold == Hold::AllSlots || status.m_ownStragglers > 0;
        m_anyWithoutHold = m_anyWithoutHold || candidate.m_hold == Hold::None;
    }
}

void BoundedLoadPlacement::ignoreCommonReasons()
{
    const bool allBusy = std::all_of(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isBusy; });
    if (allBusy)
        for (Candidate& candidate : m_eligible)
            candidate.m_isBusy = candidate.m_hold == Hold::AllSlots;
    const std::size_t half = m_eligible.size() / 2;
    const std::size_t busy = static_cast<std::size_t>(std::count_if(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isBusy; }));
    const std::size_t implausible = static_cast<std::size_t>(std::count_if(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isImplausible; }));
    const std::size_t silent = static_cast<std::size_t>(std::count_if(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isSilent; }));
    for (Candidate& candidate : m_eligible) {
        candidate.m_isBusy = candidate.m_isBusy && busy < m_eligible.size();
        candidate.m_isSilent = candidate.m_isSilent && silent <= half;
        candidate.m_isImplausible = candidate.m_isImplausible && implausible <= half;
    }
}

bool BoundedLoadPlacement::keepsDefault(const Candidate& candidate, std::uint64_t flowHash) const
{
    if (candidate.m_isBusy)
        return false;
    const bool isPartlyHeld = m_hasIdleHalf && m_anyWithoutHold && candidate.m_hold == Hold::SomeSlots;
    if (isPartlyHeld && drawUniform(flowHash, c_heldSalt) >= m_parameters.m_heldShare)
        return false;
    if (candidate.m_isSilent && drawUniform(flowHash, c_silentSalt) >= m_parameters.m_probeShare)
        return false;
    if (drawUniform(flowHash, c_coldSalt) >= candidate.m_share)
        return false;
    // Without a fresh report the estimate covers only this VM's own flows, most of which are in its local zone.
    if (!candidate.m_hasFreshReport)
        return true;
    const double slack = m_hasIdleHalf ? m_parameters.m_idleLoadSlack : m_parameters.m_loadSlack;
    return candidate.m_connections <= m_parameters.m_loadFactor * m_meanConnections + slack;
}

const BoundedLoadPlacement::Candidate& BoundedLoadPlacement::drawLeastLoaded(std::uint64_t flowHash) const
{
    const std::size_t wanted = m_hasIdleHalf ? m_parameters.m_idleChoices : m_parameters.m_choices;
    const Candidate* best = nullptr;
    std::size_t drawn = 0;
    std::uint64_t hash = hashPair(flowHash, c_choiceSalt);
    for (std::size_t attempt = 0; attempt < wanted * c_drawRounds && drawn < wanted; ++attempt) {
        const Candidate& candidate = m_eligible[hash % m_eligible.size()];
        const bool takesPart = !candidate.m_isBusy && !candidate.m_isSilent && !candidate.m_isImplausible
            && drawUniform(hash, c_coldSalt) < candidate.m_share;
        hash = hashPair(hash, c_choiceSalt);
        if (!takesPart || (m_hasIdleHalf && &candidate == best))
            continue;
        ++drawn;
        if (!best || loadOf(candidate) < loadOf(*best))
            best = &candidate;
    }
    return best ? *best : m_eligible[hash % m_eligible.size()];
}

double BoundedLoadPlacement::loadOf(const Candidate& candidate) const
{
    if (!m_hasIdleHalf)
        return candidate.m_connections;
    const double waiting = std::max(0.0, candidate.m_connections - candidate.m_heldSlots);
    return (waiting + 1) / std::max(c_leastFreeSlots, candidate.m_status->m_slots - candidate.m_heldSlots);
}

} // namespace cuminrelay
