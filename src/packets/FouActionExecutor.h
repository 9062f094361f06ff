#pragma once

#include "observe/Metrics.h"
#include "packets/ActionExecutor.h"
#include "packets/DatagramBatch.h"
#include "packets/Packet.h"
#include "packets/ReasonCounters.h"

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <span>

namespace cuminrelay {

/// Executes actions over UDP: sends to backend servers and the fabric as IPv4 in UDP, and to other entry VMs as peer
/// packets.
class FouActionExecutor final : public ActionExecutor {
public:
    /// callerEndpoint: the fabric's endpoint for packets to callers. The sockets must outlive the executor.
    FouActionExecutor(boost::asio::ip::udp::socket& fabric, boost::asio::ip::udp::socket& peers,
        Endpoint callerEndpoint, Metrics& metrics);

    void send(std::span<const PacketSummary> summaries, std::span<const std::span<const std::byte>> packets,
        std::span<const PacketAction> actions) override;

private:
    void execute(const PacketSummary& summary, std::span<const std::byte> packet, const PacketAction& action);
    void forwardToPeer(
        Arrival arrival, const PacketSummary& summary, std::span<const std::byte> packet, const PacketAction& action);
    void answerCaller(const PacketSummary& summary, std::span<const std::byte> packet, Reason reason);

    boost::asio::ip::udp::socket& m_fabric;
    boost::asio::ip::udp::socket& m_peers;
    Endpoint m_callerEndpoint;
    ReasonCounters m_drops;
    ReasonCounters m_refusals;
    ReasonCounters m_resets;
    Counter& m_toBackend;
    Counter& m_forwardToOwner;
    Counter& m_forwardToPreviousOwner;
    Counter& m_recordThenForward;
    SendBatch m_toFabric;
    SendBatch m_toPeers;
};

} // namespace cuminrelay
