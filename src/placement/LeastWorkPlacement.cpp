#include "placement/LeastWorkPlacement.h"

#include "base/Assert.h"
#include "base/Hash.h"

namespace cuminrelay {

namespace {

    constexpr double c_longFlowShare = 0.03; // about one request of 25 ms per second
    constexpr double c_coldFactor = 1.6; // factor by which work takes longer during a cold start
    constexpr double c_farShort = 1.0; // surcharge of another zone for a short flow, in requests per slot
    constexpr double c_farLong = 4.0; // surcharge of another zone for a long flow, in long flows per slot
    constexpr double c_activeAsLongFlows = 1.0; // long flows that an active request counts as
    constexpr double c_drawWeight = 1e-3; // small enough to break ties only

    double workAt(const FlowCandidate& candidate, const FlowDemand& demand)
    {
        const double factor = candidate.m_isCold ? c_coldFactor : 1.0;
        const double slots = candidate.m_slots > 0 ? candidate.m_slots : 1;
        if (demand.m_isLong)
            return factor * (candidate.m_longFlows + c_activeAsLongFlows * candidate.m_activeRequests) / slots
                + (candidate.m_isNear ? 0 : c_farLong);
        return factor * (candidate.m_activeRequests + c_longFlowShare * candidate.m_longFlows) / slots
            + (candidate.m_isNear ? 0 : c_farShort);
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
        const double work = workAt(candidates[i], demand) + c_drawWeight * drawUniform(demand.m_draw, i);
        if (i == 0 || work < bestWork) {
            best = i;
            bestWork = work;
        }
    }
    return best;
}

} // namespace cuminrelay
