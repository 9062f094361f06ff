#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"
#include "exchange/ContestedFlowsMessage.h"
#include "exchange/FetchSchedule.h"
#include "exchange/StoreCache.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace cuminrelay {

/// Requests store updates and contested flows from other entry VMs. Keeps the connection while the peer stays the same,
/// and replaces it if it went silent. One call at a time. Errors of all calls: Unavailable if no answer came in time,
/// InvalidInput if the answer could not be decoded.
class StoreUpdateClient {
public:
    StoreUpdateClient(boost::asio::any_io_executor executor, const Clock& clock);

    /// Requests the changes since the held versions.
    boost::asio::awaitable<Outcome<StoreUpdate>> fetch(Endpoint peer, StoreVersions held);

    boost::asio::awaitable<Outcome<ContestedFlowsMessage>> fetchContestedFlows(Endpoint peer);

private:
    /// Returns the body of the response for a target.
    boost::asio::awaitable<Outcome<std::string>> get(Endpoint peer, std::string target);

    /// Requests on a connection. A failed connection is closed.
    boost::asio::awaitable<Outcome<std::string>> getOn(
        boost::beast::tcp_stream stream, Endpoint peer, std::string target, FetchSchedule::Attempt attempt);

    void expireAt(boost::beast::tcp_stream& stream, Deadline deadline) const;

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    FetchSchedule m_schedule;
    std::optional<boost::beast::tcp_stream> m_stream; ///< kept connection
};

} // namespace cuminrelay
