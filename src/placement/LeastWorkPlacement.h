#pragma once

#include "placement/FlowPlacement.h"

namespace cuminrelay {

/// Takes the candidate with the least expected work for each slot.
///
/// A short flow looks at the requests that are there now and, for each long flow, at the small part of a request that
/// it has there at any time. A long flow stays, and therefore looks first at how many long flows there are. Candidates
/// in other zones carry a surcharge: their answers cost bytes between zones.
class LeastWorkPlacement final : public FlowPlacement {
public:
    std::size_t choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const override;
};

} // namespace cuminrelay
