#pragma once

#include "affinity/ContestedFlows.h"
#include "base/Error.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay {

/// All contested flows that an entry VM knows, as another one requests them after its start.
struct ContestedFlowsMessage {
    std::vector<ContestedFlowReport> m_flows;
    std::chrono::milliseconds m_knownFor {}; ///< all flows that were opened within this time are listed

    friend bool operator==(const ContestedFlowsMessage&, const ContestedFlowsMessage&) = default;
};

std::string encodeContestedFlows(const ContestedFlowsMessage& message);

/// Errors: InvalidInput.
Outcome<ContestedFlowsMessage> decodeContestedFlows(std::string_view bytes);

} // namespace cuminrelay
