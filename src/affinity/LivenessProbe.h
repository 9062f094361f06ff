#pragma once

#include "affinity/Backend.h"
#include "base/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrelay {

/// Probe to send to a backend server that is suspected or dead.
struct LivenessProbe {
    BackendToken m_backend;
    BackendIdentity m_identity;
    Endpoint m_endpoint;
    std::string m_healthPath; ///< HTTP path of its identity; empty: none declared
    bool m_mustIdentify = false; ///< another one may have its address
    bool m_isRecheck = false; ///< already confirmed dead: one query shows whether it is back
};

/// Result of a probe.
enum class ProbeOutcome : std::uint8_t {
    Answered, ///< by the backend server itself
    Unanswered, ///< or answered by another one that now has its address
    Unclear, ///< answered without an identity, or inconclusive
};

} // namespace cuminrelay
