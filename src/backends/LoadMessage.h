#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// Load of a backend server, as reported by itself.
struct BackendLoad {
    std::uint32_t m_connections = 0;
    std::uint16_t m_busySlots = 0;
    std::uint16_t m_queued = 0;
    bool m_shedding = false;

    friend bool operator==(const BackendLoad&, const BackendLoad&) = default;
};

/// Parses the body of a load endpoint, {"connections":N,"busy_slots":N,"queued":N,"shedding":false}. Missing keys
/// default to 0 and false, unknown keys are ignored, and numbers above the range of their field are clamped.
/// Errors: InvalidInput for anything else.
Outcome<BackendLoad> parseLoad(std::string_view body);

} // namespace cuminrelay
