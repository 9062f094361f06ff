#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"
#include "exchange/FetchSchedule.h"
#include "exchange/StoreCache.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>

namespace cuminrelay {

/// Requests store updates from other entry VMs. Keeps the connection while the peer stays the same, and replaces it if
/// it went silent. One call at a time.
class StoreUpdateClient {
public:
    StoreUpdateClient(boost::asio::any_io_executor executor, const Clock& clock);

    /// Requests the changes since the held versions. Errors: Unavailable if no answer came in time,
    /// InvalidInput if the answer could not be decoded.
    boost::asio::awaitable<Outcome<StoreUpdate>> fetch(Endpoint peer, StoreVersions held);

private:
    /// Fetches on a connection. A failed connection is closed.
    boost::asio::awaitable<Outcome<StoreUpdate>> fetchOn(
        boost::beast::tcp_stream stream, Endpoint peer, StoreVersions held, FetchSchedule::Attempt attempt);

    void expireAt(boost::beast::tcp_stream& stream, Deadline deadline) const;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    FetchSchedule m_schedule;
    std::optional<boost::beast::tcp_stream> m_stream; ///< kept connection
};

} // namespace cuminrelay
