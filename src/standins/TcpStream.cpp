#include "standins/TcpStream.h"

namespace cuminrelay::standins {

namespace asio = boost::asio;

namespace {

    constexpr Duration c_lingerTime = std::chrono::seconds { 2 };

} // namespace

TcpStream::TcpStream(TcpConnection connection, std::unique_ptr<SegmentSink> sink)
    : m_connection(std::move(connection))
    , m_sink(std::move(sink))
{
}

void TcpStream::deliver(const Segment& segment)
{
    m_connection.receive(segment, now());
    sendDueSegments();
    m_changed.notify();
}

void TcpStream::sendDueSegments()
{
    for (const Segment& segment : m_connection.takeSegments(now()))
        m_sink->send(segment);
}

asio::awaitable<void> TcpStream::run()
{
    while (!hasFailed() && state() != TcpState::Closed) {
        sendDueSegments();
        co_await m_changed.waitUntil(m_connection.nextDeadline());
    }
    m_changed.notify();
    if (state() == TcpState::Closed)
        co_await sleepUntil(now() + c_lingerTime);
}

asio::awaitable<Outcome<std::string>> TcpStream::readLine(Deadline deadline)
{
    while (true) {
        const std::size_t end = m_connection.readable().find('\n');
        if (end != std::string_view::npos)
            co_return takeReadable(end, 1);
        if (hasEnded())
            co_return endError();
        if (now() >= deadline)
            co_return Error { ErrorKind::Exhausted, "time-out while reading a line" };
        co_await m_changed.waitUntil(deadline);
    }
}

asio::awaitable<Outcome<std::string>> TcpStream::readBytes(std::size_t bytes, Deadline deadline)
{
    while (m_connection.readable().size() < bytes) {
        if (hasEnded())
            co_return endError();
        if (now() >= deadline)
            co_return Error { ErrorKind::Exhausted, "time-out while reading a body" };
        co_await m_changed.waitUntil(deadline);
    }
    co_return takeReadable(bytes, 0);
}

Outcome<std::string> TcpStream::takeReadable(std::size_t bytes, std::size_t skipped)
{
    std::string taken { m_connection.readable().substr(0, bytes) };
    m_connection.consume(bytes + skipped);
    return taken;
}

Error TcpStream::endError() const
{
    if (state() == TcpState::Reset)
        return { ErrorKind::Unavailable, "the connection was reset" };
    if (state() == TcpState::TimedOut)
        return { ErrorKind::Unavailable, "the connection timed out" };
    return { ErrorKind::Unavailable, "the peer closed the connection" };
}

asio::awaitable<void> TcpStream::waitOpened(Deadline deadline)
{
    while (state() == TcpState::Opening && now() < deadline)
        co_await m_changed.waitUntil(deadline);
}

asio::awaitable<void> TcpStream::waitPeerFinished(Deadline deadline)
{
    while (!hasEnded() && now() < deadline)
        co_await m_changed.waitUntil(deadline);
}

void TcpStream::write(std::string_view bytes)
{
    m_connection.write(bytes);
    sendDueSegments();
    m_changed.notify();
}

void TcpStream::abort()
{
    m_connection.abort();
    m_changed.notify();
}

void TcpStream::finish()
{
    m_connection.finish();
    sendDueSegments();
    m_changed.notify();
}

} // namespace cuminrelay::standins
