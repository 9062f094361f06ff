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

/// Sends the segments of a stream.
class SegmentSink {
public:
    SegmentSink() = default;
    SegmentSink(const SegmentSink&) = delete;
    SegmentSink& operator=(const SegmentSink&) = delete;
    virtual ~SegmentSink() = default;

    virtual void send(const Segment& segment) = 0;
};

/// A TCP connection for tasks: reads suspend, writes do not wait, run() retransmits. Single-threaded.
class TcpStream {
public:
    TcpStream(TcpConnection connection, std::unique_ptr<SegmentSink> sink);

    void deliver(const Segment& segment);

    /// Retransmits until the connection is closed or has failed. After a close, lingers 2 s to acknowledge
    /// retransmissions of the peer.
    boost::asio::awaitable<void> run();

    /// Returns the next line without its line end. Errors: Unavailable when the connection failed or ended (state()
    /// gives the cause), Exhausted at the deadline.
    boost::asio::awaitable<Outcome<std::string>> readLine(Deadline deadline);

    /// Returns exactly the given number of bytes. Errors: as readLine().
    boost::asio::awaitable<Outcome<std::string>> readBytes(std::size_t bytes, Deadline deadline);

    /// Returns when the handshake is complete or has failed, or at the deadline.
    boost::asio::awaitable<void> waitOpened(Deadline deadline);

    /// Returns when the peer has sent its FIN or the connection has failed, or at the deadline.
    boost::asio::awaitable<void> waitPeerFinished(Deadline deadline);

    void write(std::string_view bytes);
    void finish();

    /// Drops the connection without a segment to the peer.
    void abort();

    TcpState state() const { return m_connection.state(); }
    bool hasFailed() const { return state() == TcpState::Reset || state() == TcpState::TimedOut; }
    bool hasEnded() const { return hasFailed() || state() == TcpState::Closed || m_connection.peerFinished(); }

private:
    void sendDueSegments();
    Outcome<std::string> takeReadable(std::size_t bytes, std::size_t skipped);
    Error endError() const;

    TcpConnection m_connection;
    std::unique_ptr<SegmentSink> m_sink;
    Signal m_changed;
};

} // namespace cuminrelay::standins
