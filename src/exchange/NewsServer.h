#pragma once

#include "exchange/NewsBook.h"
#include "observe/GetServer.h"

namespace cuminrelay {

/// Serves store updates to other entry VMs: GET /news?backends=REVISION&declarations=VERSION.
class NewsServer final : public GetServer {
public:
    NewsServer(const boost::asio::any_io_executor& executor, const NewsBook& book, const Clock& clock, Metrics& metrics,
        Log& log);

private:
    GetAnswer answer(std::string_view target) override;

    const NewsBook& m_book;
    const Clock& m_clock;
};

/// The request target for changes relative to these versions.
std::string newsTarget(const KnownState& known);

/// The versions in a target. Errors: InvalidInput.
Outcome<KnownState> parseNewsTarget(std::string_view target);

} // namespace cuminrelay
