#pragma once

#include "affinity/ContestedFlows.h"
#include "exchange/StoreCache.h"
#include "observe/HttpGetServer.h"

#include <string>
#include <string_view>

namespace cuminrelay {

/// The request target for all contested flows.
inline constexpr std::string_view c_contestedFlowsTarget = "/contested_flows";

/// Serves store updates to other entry VMs: GET /news?backends=REVISION&declarations=VERSION[&era=ERA]. Older programs
/// neither send nor accept the era; without it, it is 0. Also serves c_contestedFlowsTarget.
class StoreUpdateServer final : public HttpGetServer {
public:
    StoreUpdateServer(const boost::asio::any_io_executor& executor, const StoreCache& storeCache,
        const ContestedFlows& contestedFlows, const Clock& clock, Metrics& metrics, Log& log);

private:
    HttpGetResponse answer(std::string_view target) override;

    const StoreCache& m_storeCache;
    const ContestedFlows& m_contestedFlows;
    const Clock& m_clock;
};

/// The request target for changes relative to these versions.
std::string storeUpdateTarget(const StoreVersions& held);

/// The versions in a target. Errors: InvalidInput.
Outcome<StoreVersions> parseStoreUpdateTarget(std::string_view target);

} // namespace cuminrelay
