#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// What a backend server says of its own load.
struct BackendLoad {
    std::uint32_t m_connections = 0;
    std::uint16_t m_busySlots = 0;
    std::uint16_t m_queued = 0;
    bool m_shedding = false;

    friend bool operator==(const BackendLoad&, const BackendLoad&) = default;
};

/// Parses the body of a load endpoint, {"connections":N,"busy_slots":N,"queued":N,"shedding":false}. Missing keys
/// stand for 0 and false, unknown ones are ignored, numbers that are too large are taken as the largest possible.
/// Errors: InvalidInput for anything else.
Outcome<BackendLoad> parseLoad(std::string_view body);

} // namespace cuminrelay
