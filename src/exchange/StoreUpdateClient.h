#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Time.h"
#include "exchange/StoreCache.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <optional>

namespace cuminrelay {

/// Requests store updates from other entry VMs. Keeps the connection while the peer stays the same, and replaces it if
/// it went silent. One call at a time.
class StoreUpdateClient {
public:
    /// Time in which an answer has to begin on a new connection, and on a kept one, which may have gone silent.
    static constexpr std::chrono::milliseconds s_answerTimeout { 700 };
    static constexpr std::chrono::milliseconds s_keptAnswerTimeout { 300 };

    StoreUpdateClient(boost::asio::any_io_executor executor, const Clock& clock);

    /// Requests the changes since the held versions. Errors: Unavailable if no answer came in time,
    /// InvalidInput if it cannot be decoded.
    boost::asio::awaitable<Outcome<StoreUpdate>> fetch(Endpoint peer, StoreVersions held);

private:
    boost::asio::awaitable<Outcome<boost::beast::tcp_stream>> connect(Endpoint peer);

    boost::asio::awaitable<Outcome<StoreUpdate>> fetchOn(
        boost::beast::tcp_stream stream, Endpoint peer, StoreVersions held, std::chrono::milliseconds answerTimeout);

    boost::asio::any_io_executor m_executor;
    const Clock& m_clock;
    std::optional<boost::beast::tcp_stream> m_stream;
    Endpoint m_peer; ///< the other end of m_stream
    Deadline m_keepAliveUntil {}; ///< end of the reuse of m_stream
};

} // namespace cuminrelay
