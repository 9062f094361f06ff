#pragma once

#include "base/Error.h"
#include "standins/Signal.h"
#include "standins/TcpConnection.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace cuminrelay::standins {

/// Where a stream's segments leave.
class SegmentSink {
public:
    SegmentSink() = default;
    SegmentSink(const SegmentSink&) = delete;
    SegmentSink& operator=(const SegmentSink&) = delete;
    virtual ~SegmentSink() = default;

    virtual void send(const Segment& segment) = 0;
};

/// A connection for tasks: reads suspend, writes leave at once, and run() retransmits. All on one thread.
class TcpStream {
public:
    TcpStream(TcpConnection connection, std::unique_ptr<SegmentSink> sink);

    /// Takes a segment that arrived for this connection.
    void deliver(const Segment& segment);

    /// Retransmits until the connection has ended and the other side surely knows it.
    boost::asio::awaitable<void> run();

    /// The next line without its end. Errors: Unavailable when the connection failed or ended, Exhausted at the
    /// deadline; state() says more.
    boost::asio::awaitable<Outcome<std::string>> readLine(Deadline deadline);

    /// Exactly so many bytes. Errors: as readLine().
    boost::asio::awaitable<Outcome<std::string>> readBytes(std::size_t bytes, Deadline deadline);

    /// Returns when the handshake is complete, has failed, or at the deadline.
    boost::asio::awaitable<void> waitOpened(Deadline deadline);

    /// Returns when the other side has finished, the connection has failed, or at the deadline.
    boost::asio::awaitable<void> waitPeerFinished(Deadline deadline);

    void write(std::string_view bytes);
    void finish();

    /// Ends at once; the other side is not told.
    void abort();

    TcpState state() const { return m_connection.state(); }
    bool hasFailed() const { return state() == TcpState::Reset || state() == TcpState::TimedOut; }
    bool hasEnded() const { return hasFailed() || state() == TcpState::Closed || m_connection.peerFinished(); }

private:
    void pump();
    Outcome<std::string> take(std::size_t bytes, std::size_t skipped);
    Error endError() const;

    TcpConnection m_connection;
    std::unique_ptr<SegmentSink> m_sink;
    Signal m_changed;
};

} // namespace cuminrelay::standins
