#pragma once

#include "affinity/Backend.h"
#include "base/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrelay {

/// A backend server whose life is in doubt, to be asked itself.
struct LifeProbe {
    BackendToken m_backend;
    BackendIdentity m_identity;
    Endpoint m_endpoint;
    std::string m_healthPath; ///< where it says who it is; empty when nobody said
    bool m_mustIdentify = false; ///< another one may have its address by now
    bool m_isRecheck = false; ///< it was found dead before: one question shows whether it is back
};

/// What came of asking.
enum class ProbeOutcome : std::uint8_t {
    Answered, ///< by the backend server itself
    Unanswered, ///< or answered by another one that has its address now
    Unclear, ///< somebody answered, and did not say who
};

} // namespace cuminrelay
