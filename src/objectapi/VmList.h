#pragma once

#include "base/Error.h"
#include "members/Member.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// The platform's VM list. It has no incarnations; those of m_members are 0.
struct VmList {
    std::vector<Member> m_members; ///< sorted by m_peers
    std::uint64_t m_malformed = 0; ///< number of malformed entries; they are skipped so that the others stay usable
};

/// Parses the JSON array returned by GET /v1/vms. Errors: InvalidInput if the text is not a JSON array.
Outcome<VmList> parseVmList(std::string_view text);

} // namespace cuminrelay
