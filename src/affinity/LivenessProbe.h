#pragma once

#include "affinity/Backend.h"
#include "base/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrelay {

/// Probe to send to a backend server that is suspected, dead or a control.
struct LivenessProbe {
    BackendToken m_backend;
    BackendIdentity m_identity;
    Endpoint m_endpoint;
    std::string m_healthPath; ///< HTTP path that reports the identity; empty: none declared
    bool m_mustIdentify = false; ///< another server may have the address
    bool m_isRecheck = false; ///< already confirmed dead, so that one probe decides
};

enum class ProbeOutcome : std::uint8_t {
    Answered, ///< by the backend server itself
    Unanswered, ///< or answered by another server that now has the address
    Unclear, ///< answered without an identity, or inconclusive
};

} // namespace cuminrelay
