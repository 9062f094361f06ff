#pragma once

#include "observe/Metrics.h"
#include "packets/DatagramBatch.h"
#include "packets/Packet.h"
#include "packets/ReasonCounters.h"
#include "packets/VerdictSender.h"

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <span>

namespace cuminrelay {

/// Executes actions over UDP: sends to backend servers and the fabric as IPv4 in UDP, and to other entry VMs as peer
/// packets. Shared by the front ends of one process; allocates no memory per packet.
class FouVerdictSender final : public VerdictSender {
public:
    /// callerEndpoint: the fabric's endpoint for packets to callers. The sockets must outlive the sender.
    FouVerdictSender(
        boost::asio::ip::udp::socket& fabric, boost::asio::ip::udp::socket& peers, Endpoint answers, Metrics& metrics);

    void send(std::span<const PacketSummary> summaries, std::span<const std::span<const std::byte>> packets,
        std::span<const Verdict> verdicts) override;

private:
    void carryOut(const PacketSummary& summary, std::span<const std::byte> packet, const Verdict& verdict);
    void handToPeer(
        Arrival arrival, const PacketSummary& summary, std::span<const std::byte> packet, const Verdict& verdict);
    void answerCaller(const PacketSummary& summary, std::span<const std::byte> packet, Reason reason);

    boost::asio::ip::udp::socket& m_fabric;
    boost::asio::ip::udp::socket& m_peers;
    Endpoint m_answers;
    ReasonCounters m_drops;
    ReasonCounters m_refusals;
    ReasonCounters m_resets;
    Counter& m_toBackend;
    Counter& m_askOwner;
    Counter& m_askPrevious;
    Counter& m_record;
    SendBatch m_toFabric;
    SendBatch m_toPeers;
};

} // namespace cuminrelay
