#pragma once

#include "admission/AdmissionPolicy.h"

namespace cuminrelay {

/// Baseline: admits every flow.
class UnlimitedAdmission final : public AdmissionPolicy {
public:
    Admission admit(std::span<const Endpoint> candidates, const BackendStatusTable& backendStatuses,
        std::size_t ownerCount, Instant now) override;
};

} // namespace cuminrelay
