#include "placement/BoundedLoadPlacement.h"

#include "backends/Eligibility.h"
#include "base/Hash.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr Duration c_answerTimeout = std::chrono::seconds { 3 };
    constexpr std::uint32_t c_silentOpenings = 3;
    constexpr int c_drawRounds = 4;

    // Salts that make the draws for one flow independent of each other and of its default.
    constexpr std::uint64_t c_coldSalt = 0x636f6c64;
    constexpr std::uint64_t c_silentSalt = 0x73696c65;
    constexpr std::uint64_t c_choiceSalt = 0x63686f69;

    /// A number in [0, 1) that depends on the flow and the salt only.
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
    markBusy(now);
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
        candidate.m_share = coldStartShare(*status, m_parameters.m_coldShare, now);
        candidate.m_isSilent = leavesOpeningsUnanswered(*status, now);
        connections += candidate.m_connections;
        largestShare = std::max(largestShare, candidate.m_share);
    }
    // A service that starts as a whole has nobody to give the rest of the shares to.
    for (Candidate& candidate : m_eligible)
        candidate.m_share /= largestShare;
    m_meanConnections = m_eligible.empty() ? 0 : connections / static_cast<double>(m_eligible.size());
}

void BoundedLoadPlacement::markBusy(Instant now)
{
    double queued = 0;
    for (const Candidate& candidate : m_eligible)
        queued += candidate.m_status->hasFreshReport(now) ? candidate.m_status->m_report.m_queued : 0;
    const double meanQueued = queued / static_cast<double>(m_eligible.size());
    for (Candidate& candidate : m_eligible) {
        const BackendStatus& status = *candidate.m_status;
        const bool queueStandsOut = status.hasFreshReport(now) && status.m_report.m_queued > status.m_slots
            && status.m_report.m_queued > m_parameters.m_queueFactor * meanQueued;
        candidate.m_isBusy = status.m_ownStragglers > 0 || queueStandsOut;
    }
}

void BoundedLoadPlacement::ignoreCommonReasons()
{
    const std::size_t half = m_eligible.size() / 2;
    const std::size_t busy = static_cast<std::size_t>(std::count_if(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isBusy; }));
    const std::size_t silent = static_cast<std::size_t>(std::count_if(
        m_eligible.begin(), m_eligible.end(), [](const Candidate& candidate) { return candidate.m_isSilent; }));
    for (Candidate& candidate : m_eligible) {
        candidate.m_isBusy = candidate.m_isBusy && busy < m_eligible.size();
        candidate.m_isSilent = candidate.m_isSilent && silent <= half;
    }
}

bool BoundedLoadPlacement::keepsDefault(const Candidate& candidate, std::uint64_t flowHash) const
{
    if (candidate.m_isBusy)
        return false;
    if (candidate.m_isSilent && drawUniform(flowHash, c_silentSalt) >= m_parameters.m_probeShare)
        return false;
    if (drawUniform(flowHash, c_coldSalt) >= candidate.m_share)
        return false;
    return candidate.m_connections <= m_parameters.m_loadFactor * m_meanConnections + m_parameters.m_loadSlack;
}

const BoundedLoadPlacement::Candidate& BoundedLoadPlacement::drawLeastLoaded(std::uint64_t flowHash) const
{
    const std::size_t wanted = m_parameters.m_choices;
    const Candidate* best = nullptr;
    std::size_t drawn = 0;
    std::uint64_t hash = hashPair(flowHash, c_choiceSalt);
    for (std::size_t attempt = 0; attempt < wanted * c_drawRounds && drawn < wanted; ++attempt) {
        const Candidate& candidate = m_eligible[hash % m_eligible.size()];
        const bool takesPart
            = !candidate.m_isBusy && !candidate.m_isSilent && drawUniform(hash, c_coldSalt) < candidate.m_share;
        hash = hashPair(hash, c_choiceSalt);
        if (!takesPart)
            continue;
        ++drawn;
        if (!best || candidate.m_connections < best->m_connections)
            best = &candidate;
    }
    return best ? *best : m_eligible[hash % m_eligible.size()];
}

} // namespace cuminrelay
