#pragma once

#include "placement/FlowPlacement.h"

namespace cuminrelay {

/// Takes the candidate with the least expected work per slot.
///
/// For a short flow, the work is the active requests plus a small fraction of a request per long flow. For a long flow,
/// it is the active requests plus the long flows. Candidates in other zones carry a surcharge, because their answers
/// are traffic between zones.
class LeastWorkPlacement final : public FlowPlacement {
public:
    std::size_t choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const override;
};

} // namespace cuminrelay
