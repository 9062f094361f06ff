#include "placement/LeastWorkPlacement.h"

#include "base/Assert.h"
#include "base/Hash.h"

namespace cuminrelay {

namespace {

    constexpr double c_activeRequestsPerLongFlow = 0.03; // about one request of 25 ms per second
    constexpr double c_coldFactor = 1.6; // factor by which work takes longer during a cold start
    constexpr double c_shortFlowZoneSurcharge = 1.0; // surcharge of another zone for a short flow, in requests per slot
    constexpr double c_longFlowZoneSurcharge = 4.0; // surcharge of another zone for a long flow, in long flows per slot
    constexpr double c_longFlowsPerActiveRequest = 1.0; // long flows that an active request counts as
    constexpr double c_drawWeight = 1e-3; // small enough to break ties only

    double expectedWork(const FlowCandidate& candidate, const FlowDemand& demand)
    {
        const double factor = candidate.m_isCold ? c_coldFactor : 1.0;
        const double slots = candidate.m_slots > 0 ? candidate.m_slots : 1;
        if (demand.m_isLong)
            return factor * (candidate.m_longFlows + c_longFlowsPerActiveRequest * candidate.m_activeRequests) / slots
                + (candidate.m_isInLocalZone ? 0 : c_longFlowZoneSurcharge);
        return factor * (candidate.m_activeRequests + c_activeRequestsPerLongFlow * candidate.m_longFlows) / slots
            + (candidate.m_isInLocalZone ? 0 : c_shortFlowZoneSurcharge);
    }

    double drawUniform(std::uint64_t draw, std::size_t index)
    {
        constexpr int unusedBits = 11;
        constexpr double scale = 1.0 / (std::uint64_t { 1 } << 53U);
        return static_cast<double>(hashPair(draw, index) >> unusedBits) * scale;
    }

} // namespace

std::size_t LeastWorkPlacement::choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const
{
    CR_ASSERT(!candidates.empty(), "candidates must not be empty");
    std::size_t best = 0;
    double bestWork = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const double work = expectedWork(candidates[i], demand) + c_drawWeight * drawUniform(demand.m_draw, i);
        if (i == 0 || work < bestWork) {
            best = i;
            bestWork = work;
        }
    }
    return best;
}

} // namespace cuminrelay
