#pragma once

#include "base/Error.h"
#include "members/Member.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// The platform's VM list. Incarnations are not part of it and stay 0.
struct VmList {
    std::vector<Member> m_members; ///< sorted by m_peers
    std::uint64_t m_malformed = 0; ///< entries left out: one bad entry must not hide all the others
};

/// Parses the JSON array of GET /v1/vms. Errors: InvalidInput when it is no array.
Outcome<VmList> parseVmList(std::string_view text);

} // namespace cuminrelay
