#include "placement/BoundedLoadPlacement.h"

#include "backends/Eligibility.h"
#include "base/Hash.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr Duration c_answerTimeout = std::chrono::seconds { 3 };
    constexpr std::uint32_t c_unansweredOpeningLimit = 3;
    constexpr int c_attemptsPerDraw = 4;

    // From this mean on, a backend server with less than c_plausibleLoadFraction of the mean connections has sent a
    // wrong report or has just started. It gets only the flows whose default it is.
    constexpr double c_minimumMeanConnections = 50;
    constexpr double c_plausibleLoadFraction = 0.6;

    // Salts that make the draws for one flow independent of each other and of its default backend server.
    constexpr std::uint64_t c_coldSalt = 0x636f6c64;
    constexpr std::uint64_t c_unresponsiveSalt = 0x73696c65;
    constexpr std::uint64_t c_choiceSalt = 0x63686f69;
    constexpr std::uint64_t c_occupiedSalt = 0x68656c64;

    // Free slots assumed where stragglers occupy all slots, so that loads stay finite and comparable.
    constexpr double c_minimumFreeSlots = 0.25;

    /// Returns a number in [0, 1) that depends on the flow and the salt only.
    double drawUniform(std::uint64_t flowHash, std::uint64_t salt)
    {
        constexpr int unusedBits = 11;
        constexpr double scale = 1.0 / (std::uint64_t { 1 } << 53U);
        return static_cast<double>(hashPair(flowHash, salt) >> unusedBits) * scale;
    }

    double coldStartShare(const BackendStatus& status, double coldShare, Instant now)
    {
        if (now >= status.m_coldStartEnds)
            return 1;
        const double rampLength = static_cast<double>((status.m_coldStartEnds - status.m_coldStartBegan).count());
        const double elapsed = std::max(0.0, static_cast<double>((now - status.m_coldStartBegan).count()));
        return coldShare + (1 - coldShare) * elapsed / rampLength;
    }

    bool isUnresponsive(const BackendStatus& status, Instant now)
    {
        return status.m_unansweredOpenings >= c_unansweredOpeningLimit
            && now - status.m_unansweredSince >= c_answerTimeout;
    }

} // namespace

std::optional<Endpoint> BoundedLoadPlacement::choose(
    const PlacementRequest& request, const BackendStatusTable& backendStatuses, Instant now)
{
    collectEligible(request, backendStatuses, now);
    if (m_eligible.empty())
        return std::nullopt;
    markImplausibleLoads();
    m_hasIdleHalf = isHalfIdle();
    markOccupiedSlots();
    markBusy();
    ignoreMajorityReasons();
    const auto position = std::find_if(m_eligible.begin(), m_eligible.end(),
        [&request](const Candidate& candidate) { return candidate.m_backend == request.m_default; });
    if (position != m_eligible.end() && keepsDefault(*position, request.m_flowHash))
        return request.m_default;
    return drawLeastLoaded(request.m_flowHash).m_backend;
}

void BoundedLoadPlacement::collectEligible(
    const PlacementRequest& request, const BackendStatusTable& backendStatuses, Instant now)
{
    m_eligible.clear();
    double connections = 0;
    double largestShare = 0;
    for (const Endpoint backend : request.m_candidates) {
        const BackendStatus* const status = backendStatuses.find(backend);
        if (eligibilityOf(status, backendStatuses, now) != Eligibility::Eligible)
            continue;
        Candidate& candidate = m_eligible.emplace_back();
        candidate.m_backend = backend;
        candidate.m_status = status;
        candidate.m_connections = backendStatuses.estimatedConnections(*status, now);
        candidate.m_hasFreshReport = status->hasFreshReport(now);
        candidate.m_share = coldStartShare(*status, m_parameters.m_coldShare, now);
        candidate.m_isUnresponsive = isUnresponsive(*status, now);
        connections += candidate.m_connections;
        largestShare = std::max(largestShare, candidate.m_share);
    }
    // While all backend servers are in their cold start, none can take the rest of the shares.
    for (Candidate& candidate : m_eligible)
        candidate.m_share /= largestShare;
    m_meanConnections = m_eligible.empty() ? 0 : connections / static_cast<double>(m_eligible.size());
}

void BoundedLoadPlacement::markImplausibleLoads()
{
    if (m_meanConnections < c_minimumMeanConnections)
        return;
    const double plausible = c_plausibleLoadFraction * m_meanConnections;
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

void BoundedLoadPlacement::markOccupiedSlots()
{
    for (Candidate& candidate : m_eligible) {
        const BackendStatus& status = *candidate.m_status;
        std::uint32_t occupied = status.m_ownStragglers;
        if (m_hasIdleHalf && candidate.m_hasFreshReport)
            occupied = std::max<std::uint32_t>(occupied, status.m_busySlots.fewest());
        candidate.m_occupiedSlots = std::min<std::uint32_t>(occupied, status.m_slots);
    }
}

void BoundedLoadPlacement::markBusy()
{
    double queued = 0;
    for (const Candidate& candidate : m_eligible)
        queued += candidate.m_hasFreshReport ? candidate.m_status->m_report.m_queued : 0;
    const double meanQueued = queued / static_cast<double>(m_eligible.size());
    const double queueLimit = m_hasIdleHalf ? 0 : m_parameters.m_queueFactor * meanQueued;
    m_anyUnoccupied = false;
    for (Candidate& candidate : m_eligible) {
        const BackendStatus& status = *candidate.m_status;
        const bool hasOutlyingQueue = candidate.m_hasFreshReport && status.m_report.m_queued > status.m_slots
            && status.m_report.m_queued > queueLimit;
        if (hasOutlyingQueue || candidate.m_occupiedSlots >= status.m_slots)
            candidate.m_occupancy = Occupancy::AllSlots;
        else if (candidate.m_occupiedSlots > 0)
            candidate.m_occupancy = Occupancy::SomeSlots;
        candidate.m_isBusy = candidate.m_occupancy == Occupancy::AllSlots || status.m_ownStragglers > 0;
        m_anyUnoccupied = m_anyUnoccupied || candidate.m_occupancy == Occupancy::None;
    }
}

void BoundedLoadPlacement::ignoreMajorityReasons()
{
    const bool allBusy = std::all_of(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isBusy; });
    if (allBusy)
        for (Candidate& candidate : m_eligible)
            candidate.m_isBusy = candidate.m_occupancy == Occupancy::AllSlots;
    const std::size_t half = m_eligible.size() / 2;
    const std::size_t busy = static_cast<std::size_t>(std::count_if(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isBusy; }));
    const std::size_t implausible = static_cast<std::size_t>(std::count_if(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isImplausible; }));
    const std::size_t unresponsive = static_cast<std::size_t>(std::count_if(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isUnresponsive; }));
    for (Candidate& candidate : m_eligible) {
        candidate.m_isBusy = candidate.m_isBusy && busy < m_eligible.size();
        candidate.m_isUnresponsive = candidate.m_isUnresponsive && unresponsive <= half;
        candidate.m_isImplausible = candidate.m_isImplausible && implausible <= half;
    }
}

bool BoundedLoadPlacement::keepsDefault(const Candidate& candidate, std::uint64_t flowHash) const
{
    if (candidate.m_isBusy)
        return false;
    const bool isPartlyOccupied = m_hasIdleHalf && m_anyUnoccupied && candidate.m_occupancy == Occupancy::SomeSlots;
    if (isPartlyOccupied && drawUniform(flowHash, c_occupiedSalt) >= m_parameters.m_occupiedShare)
        return false;
    if (candidate.m_isUnresponsive && drawUniform(flowHash, c_unresponsiveSalt) >= m_parameters.m_unresponsiveShare)
        return false;
    if (drawUniform(flowHash, c_coldSalt) >= candidate.m_share)
        return false;
    // Without a fresh report, the estimate extrapolates own flows, most of them in the local zone.
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
    for (std::size_t attempt = 0; attempt < wanted * c_attemptsPerDraw && drawn < wanted; ++attempt) {
        const Candidate& candidate = m_eligible[hash % m_eligible.size()];
        const bool isDrawable = !candidate.m_isBusy && !candidate.m_isUnresponsive && !candidate.m_isImplausible
            && drawUniform(hash, c_coldSalt) < candidate.m_share;
        hash = hashPair(hash, c_choiceSalt);
        if (!isDrawable || (m_hasIdleHalf && &candidate == best))
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
    const double waiting = std::max(0.0, candidate.m_connections - candidate.m_occupiedSlots);
    return (waiting + 1) / std::max(c_minimumFreeSlots, candidate.m_status->m_slots - candidate.m_occupiedSlots);
}

} // namespace cuminrelay
