#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"
#include "exchange/StoreCache.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>

namespace cuminrelay {

/// Requests store updates from other entry VMs. Keeps the connection while the peer stays the same. One call at a time.
class StoreUpdateClient {
public:
    StoreUpdateClient(boost::asio::any_io_executor executor, const Clock& clock);

    /// Requests the changes since the held versions. Errors: Unavailable if no answer came in time,
    /// InvalidInput if it cannot be decoded.
    boost::asio::awaitable<Outcome<StoreUpdate>> fetch(Endpoint peer, StoreVersions held);

private:
    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    std::optional<boost::beast::tcp_stream> m_stream;
    Endpoint m_peer; ///< the other end of m_stream
    Deadline m_keepAliveUntil {}; ///< end of the reuse of m_stream
};

} // namespace cuminrelay
