#pragma once

#include "placement/FlowPlacement.h"

namespace cuminrelay {

/// Takes the candidate with the least expected work per slot.
///
/// For a short flow, the work is the active requests plus a small fraction of a request per long flow. For a long flow,
/// it is the active requests plus the long flows. Candidates in other zones carry a surcharge, because their answers
/// are traffic between zones.
///
/// A candidate with a given share is drawn at random for that part of the choices, and takes part in no others. So its
/// share holds at each entry VM, although the VMs do not know the load that they add together. A drawn candidate whose
/// known work is clearly above the mean is passed over.
class LeastWorkPlacement final : public FlowPlacement {
public:
    std::size_t choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const override;
};

} // namespace cuminrelay
