#pragma once

#include "observe/Log.h"
#include "observe/Metrics.h"
#include "packets/ActionExecutor.h"
#include "packets/DatagramBatch.h"
#include "packets/PacketFrontEnd.h"
#include "packets/ReasonCounters.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/outcome/result.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cuminrelay {

/// A front end that receives from one UDP socket. Derived classes decode the datagrams.
class UdpFrontEnd : public PacketFrontEnd {
public:
    boost::asio::awaitable<std::span<const PacketSummary>> receive() final;
    void send(std::span<const PacketAction> actions) final;

protected:
    /// A caller's packet inside a datagram; m_bytes is a view into the datagram.
    struct EncapsulatedPacket {
        PacketSummary m_summary;
        std::span<const std::byte> m_bytes;
    };
    using Unwrapped
        = boost::outcome_v2::basic_result<EncapsulatedPacket, Reason, boost::outcome_v2::policy::all_narrow>;

    /// name: "fabric" or "peer", for counters and logs. The referenced objects must outlive the front end.
    UdpFrontEnd(boost::asio::ip::udp::socket& socket, ActionExecutor& executor, std::string_view name, Metrics& metrics,
        Log& log);

    /// Returns the caller's packet inside a datagram, or the reason for dropping it.
    virtual Unwrapped unwrap(const Datagram& datagram) = 0;

private:
    void acceptDatagram(const Datagram& datagram);
    void countQueueDrops();

    boost::asio::ip::udp::socket& m_socket;
    ActionExecutor& m_executor;
    std::string_view m_name;
    Log& m_log;
    Counter& m_received;
    Counter& m_receiveFailures;
    Counter& m_queueDrops;
    std::uint32_t m_countedQueueDrops = 0;
    ReasonCounters m_drops;
    ReceiveBatch m_datagrams;
    std::size_t m_count = 0; ///< packets of the last batch
    std::array<PacketSummary, c_maximumBatch> m_summaries {};
    std::array<std::span<const std::byte>, c_maximumBatch> m_packets {};
};

} // namespace cuminrelay
