#include "packets/UdpFrontEnd.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <fmt/format.h>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;

    constexpr auto c_asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::chrono::milliseconds c_pauseAfterFailure { 10 };

} // namespace

UdpFrontEnd::UdpFrontEnd(
    asio::ip::udp::socket& socket, ActionExecutor& executor, std::string_view name, Metrics& metrics, Log& log)
    : m_socket(socket)
    , m_executor(executor)
    , m_name(name)
    , m_log(log)
    , m_received(metrics.counter("cuminrelay_packets_received_total", name))
    , m_receiveFailures(metrics.counter("cuminrelay_receive_failures_total", name))
    , m_queueDrops(metrics.counter("cuminrelay_receive_queue_drops_total", name))
    , m_drops(metrics, fmt::format("cuminrelay_{}_drops_total", name))
{
}

asio::awaitable<std::span<const PacketSummary>> UdpFrontEnd::receive()
{
    m_count = 0;
    while (m_socket.is_open()) {
        const Outcome<std::size_t> received = m_datagrams.receive(m_socket.native_handle());
        if (!received) {
            m_receiveFailures.add();
            m_log.warning("packets", "receive_failed", { { "from", m_name }, { "error", received.error().m_message } });
            asio::steady_timer pause { m_socket.get_executor(), c_pauseAfterFailure };
            co_await pause.async_wait(c_asTuple);
            continue;
        }
        countQueueDrops();
        for (std::size_t i = 0; i < received.value(); ++i)
            acceptDatagram(m_datagrams.datagram(i));
        if (m_count > 0)
            co_return std::span<const PacketSummary> { m_summaries }.first(m_count);
        co_await m_socket.async_wait(asio::ip::udp::socket::wait_read, c_asTuple);
    }
    co_return std::span<const PacketSummary> {};
}

void UdpFrontEnd::countQueueDrops()
{
    const std::uint32_t drops = m_datagrams.queueDrops();
    m_queueDrops.add(static_cast<std::uint32_t>(drops - m_countedQueueDrops));
    m_countedQueueDrops = drops;
}

void UdpFrontEnd::acceptDatagram(const Datagram& datagram)
{
    m_received.add();
    const Unwrapped unwrapped = datagram.m_truncated ? Unwrapped { Reason::Truncated } : unwrap(datagram);
    if (!unwrapped) {
        m_drops.add(unwrapped.error());
        return;
    }
    m_summaries[m_count] = unwrapped.value().m_summary;
    m_packets[m_count] = unwrapped.value().m_bytes;
    ++m_count;
}

void UdpFrontEnd::send(std::span<const PacketAction> actions)
{
    m_executor.send(std::span { m_summaries }.first(m_count), std::span { m_packets }.first(m_count), actions);
}

} // namespace cuminrelay
