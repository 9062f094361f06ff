#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"
#include "exchange/NewsBook.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>

namespace cuminrelay {

/// Asks other entry VMs what is new, over a connection that is kept for as long as the same one is asked. One call at a
/// time.
class NewsClient {
public:
    NewsClient(boost::asio::any_io_executor executor, const Clock& clock);

    /// Errors: Unavailable when no usable answer came in time.
    boost::asio::awaitable<Outcome<News>> fetch(Endpoint peer, KnownState known);

private:
    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    std::optional<boost::beast::tcp_stream> m_stream;
    Endpoint m_peer; ///< whom m_stream leads to
    Deadline m_keptUntil {}; ///< the other end closes a connection that is not used for longer
};

} // namespace cuminrelay
