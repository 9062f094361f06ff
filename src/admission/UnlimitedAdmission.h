#pragma once

#include "admission/AdmissionPolicy.h"

namespace cuminrelay {

/// Baseline: lets every flow in.
class UnlimitedAdmission final : public AdmissionPolicy {
public:
    Admission admit(
        std::span<const Endpoint> candidates, const BackendBoard& board, std::size_t ownerCount, Instant now) override;
};

} // namespace cuminrelay
