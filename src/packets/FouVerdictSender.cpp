#include "packets/FouVerdictSender.h"

#include "base/Assert.h"
#include "packets/PacketBuilder.h"
#include "packets/PeerPacket.h"

#include <limits>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;

    std::uint8_t oneHopMore(std::uint8_t hops)
    {
        return hops == std::numeric_limits<std::uint8_t>::max() ? hops : static_cast<std::uint8_t>(hops + 1);
    }

    /// Overload is reported as prohibited, because a retry may succeed elsewhere or later; a missing service or server
    /// as an unreachable port.
    UnreachableCode codeOf(Reason reason)
    {
        switch (reason) {
        case Reason::AdmissionQueueFull:
        case Reason::AdmissionShare:
        case Reason::FlowTableFull:
            return UnreachableCode::AdministrativelyProhibited;
        default:
            return UnreachableCode::Port;
        }
    }

} // namespace

FouVerdictSender::FouVerdictSender(
    asio::ip::udp::socket& fabric, asio::ip::udp::socket& peers, Endpoint answers, Metrics& metrics)
    : m_fabric(fabric)
    , m_peers(peers)
    , m_answers(answers)
    , m_drops(metrics, "cuminrelay_drops_total")
    , m_refusals(metrics, "cuminrelay_refusals_total")
    , m_resets(metrics, "cuminrelay_resets_total")
    , m_toBackend(metrics.counter("cuminrelay_packets_sent_total", "to_backend"))
    , m_askOwner(metrics.counter("cuminrelay_packets_sent_total", "ask_owner"))
    , m_askPrevious(metrics.counter("cuminrelay_packets_sent_total", "ask_previous"))
    , m_record(metrics.counter("cuminrelay_packets_sent_total", "record_then_forward"))
    , m_toFabric(metrics)
    , m_toPeers(metrics)
{
}

void FouVerdictSender::send(std::span<const PacketSummary> summaries,
    std::span<const std::span<const std::byte>> packets, std::span<const Verdict> verdicts)
{
    CR_ASSERT(
        verdicts.size() == summaries.size() && packets.size() == summaries.size(), "each packet must have one action");
    for (std::size_t i = 0; i < verdicts.size(); ++i)
        carryOut(summaries[i], packets[i], verdicts[i]);
    m_toFabric.send(m_fabric.native_handle());
    m_toPeers.send(m_peers.native_handle());
}

void FouVerdictSender::carryOut(const PacketSummary& summary, std::span<const std::byte> packet, const Verdict& verdict)
{
    switch (verdict.m_kind) {
    case VerdictKind::Drop:
        m_drops.add(verdict.m_reason);
        return;
    case VerdictKind::ToBackend:
        m_toBackend.add();
        m_toFabric.add(verdict.m_target, packet);
        return;
    case VerdictKind::AskOwner:
        m_askOwner.add();
        handToPeer(Arrival::AskOwner, summary, packet, verdict);
        return;
    case VerdictKind::AskPrevious:
        m_askPrevious.add();
        handToPeer(Arrival::AskPrevious, summary, packet, verdict);
        return;
    case VerdictKind::RecordThenForward:
        m_record.add();
        handToPeer(Arrival::Record, summary, packet, verdict);
        return;
    case VerdictKind::Refuse:
        m_refusals.add(verdict.m_reason);
        answerCaller(summary, packet, verdict.m_reason);
        return;
    case VerdictKind::ResetCaller:
        m_resets.add(verdict.m_reason);
        answerCaller(summary, packet, verdict.m_reason);
        return;
    }
}

void FouVerdictSender::handToPeer(
    Arrival arrival, const PacketSummary& summary, std::span<const std::byte> packet, const Verdict& verdict)
{
    const Endpoint backend = arrival == Arrival::Record ? verdict.m_backend : Endpoint {};
    const PeerPacket message { arrival, oneHopMore(summary.m_hops), backend, packet };
    m_toPeers.add(verdict.m_target, encodePeerPacket(message, m_toPeers.room()));
}

void FouVerdictSender::answerCaller(const PacketSummary& summary, std::span<const std::byte> packet, Reason reason)
{
    const std::span<std::byte> room = m_toFabric.room();
    const std::span<std::byte> answer = summary.m_flow.m_protocol == Protocol::Tcp
        ? buildReset(packet, room)
        : buildUnreachable(packet, codeOf(reason), room);
    if (!answer.empty()) // no reset in answer to a reset
        m_toFabric.add(m_answers, answer);
}

} // namespace cuminrelay
