#include "placement/LeastWorkPlacement.h"

#include "base/Assert.h"
#include "base/Hash.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr double c_activeRequestsPerLongFlow = 0.03; // about one request of 25 ms per second
    constexpr double c_shortFlowZoneSurcharge = 1.0; // surcharge of another zone for a short flow, in requests per slot
    constexpr double c_longFlowZoneSurcharge = 4.0; // surcharge of another zone for a long flow, in long flows per slot
    constexpr double c_longFlowsPerActiveRequest = 1.0; // long flows that an active request counts as
    constexpr double c_drawWeight = 1e-3; // small enough to break ties only
    constexpr std::uint64_t c_shareSalt = 0x73686172; // "shar"

    double expectedWork(const FlowCandidate& candidate, const FlowDemand& demand)
    {
        const double factor = candidate.m_workFactor;
        const double active = candidate.m_activeRequests + candidate.m_addedRequests;
        const double slots = candidate.m_slots > 0 ? candidate.m_slots : 1;
        if (demand.m_isLong)
            return factor * (candidate.m_longFlows + c_longFlowsPerActiveRequest * active) / slots
                + (candidate.m_isInLocalZone ? 0 : c_longFlowZoneSurcharge);
        return factor * (active + c_activeRequestsPerLongFlow * candidate.m_longFlows) / slots
            + (candidate.m_isInLocalZone ? 0 : c_shortFlowZoneSurcharge);
    }

    constexpr double c_shareSlack = 0.5; // requests per slot above the mean up to which a drawn candidate is taken

    double drawUniform(std::uint64_t draw, std::size_t index)
    {
        constexpr int unusedBits = 11;
        constexpr double scale = 1.0 / (std::uint64_t { 1 } << 53U);
        return static_cast<double>(hashPair(draw, index) >> unusedBits) * scale;
    }

    /// Returns the index of the candidate whose share the flow is drawn for; the number of candidates if there is none.
    std::size_t drawByShare(std::span<const FlowCandidate> candidates, const FlowDemand& demand)
    {
        const auto local = static_cast<double>(std::ranges::count(candidates, true, &FlowCandidate::m_isInLocalZone));
        const auto all = static_cast<double>(candidates.size());
        double drawn = drawUniform(demand.m_draw ^ c_shareSalt, candidates.size());
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            drawn -= candidates[i].m_share / (candidates[i].m_isInLocalZone ? local : all);
            if (drawn < 0)
                return i;
        }
        return candidates.size();
    }

    bool isWellAboveMean(
        std::span<const FlowCandidate> candidates, const FlowCandidate& candidate, const FlowDemand& demand)
    {
        double sum = 0;
        for (const FlowCandidate& other : candidates)
            sum += expectedWork(other, demand);
        return expectedWork(candidate, demand) > sum / static_cast<double>(candidates.size()) + c_shareSlack;
    }

} // namespace

std::size_t LeastWorkPlacement::choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const
{
    CR_ASSERT(!candidates.empty(), "candidates must not be empty");
    const auto hasShare = [](const FlowCandidate& candidate) { return candidate.m_share > 0; };
    const bool anyShare = std::ranges::any_of(candidates, hasShare);
    if (anyShare) {
        const std::size_t drawn = drawByShare(candidates, demand);
        if (drawn < candidates.size() && !isWellAboveMean(candidates, candidates[drawn], demand))
            return drawn;
    }
    const bool allHaveShares = anyShare && std::ranges::all_of(candidates, hasShare);
    std::size_t best = candidates.size();
    double bestWork = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (hasShare(candidates[i]) && !allHaveShares)
            continue;
        const double work = expectedWork(candidates[i], demand) + c_drawWeight * drawUniform(demand.m_draw, i);
        if (best == candidates.size() || work < bestWork) {
            best = i;
            bestWork = work;
        }
    }
    return best;
}

} // namespace cuminrelay
