#include "packets/FouActionExecutor.h"

#include "base/Assert.h"
#include "packets/PacketBuilder.h"
#include "packets/PeerPacket.h"

#include <limits>

namespace cuminrelay {

namespace {

    namespace asio = boost::asio;

    std::uint8_t incrementHops(std::uint8_t hops)
    {
        return hops == std::numeric_limits<std::uint8_t>::max() ? hops : static_cast<std::uint8_t>(hops + 1);
    }

    /// Overload is reported as prohibited, because a retry may succeed elsewhere or later; a missing service or server
    /// as an unreachable port.
    UnreachableCode unreachableCodeFor(Reason reason)
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

FouActionExecutor::FouActionExecutor(
    asio::ip::udp::socket& fabric, asio::ip::udp::socket& peers, Endpoint callerEndpoint, Metrics& metrics)
    : m_fabric(fabric)
    , m_peers(peers)
    , m_callerEndpoint(callerEndpoint)
    , m_drops(metrics, "cuminrelay_drops_total")
    , m_refusals(metrics, "cuminrelay_refusals_total")
    , m_resets(metrics, "cuminrelay_resets_total")
    , m_toBackend(metrics.counter("cuminrelay_packets_sent_total", "to_backend"))
    , m_forwardToOwner(metrics.counter("cuminrelay_packets_sent_total", "ask_owner"))
    , m_forwardToPreviousOwner(metrics.counter("cuminrelay_packets_sent_total", "ask_previous"))
    , m_recordThenForward(metrics.counter("cuminrelay_packets_sent_total", "record_then_forward"))
    , m_toFabric(metrics)
    , m_toPeers(metrics)
{
}

void FouActionExecutor::send(std::span<const PacketSummary> summaries,
    std::span<const std::span<const std::byte>> packets, std::span<const PacketAction> actions)
{
    CR_ASSERT(
        actions.size() == summaries.size() && packets.size() == summaries.size(), "each packet must have one action");
    for (std::size_t i = 0; i < actions.size(); ++i)
        execute(summaries[i], packets[i], actions[i]);
    m_toFabric.send(m_fabric.native_handle());
    m_toPeers.send(m_peers.native_handle());
}

void FouActionExecutor::execute(
    const PacketSummary& summary, std::span<const std::byte> packet, const PacketAction& action)
{
    switch (action.m_kind) {
    case PacketActionKind::Drop:
        m_drops.add(action.m_reason);
        return;
    case PacketActionKind::ToBackend:
        m_toBackend.add();
        m_toFabric.add(action.m_target, packet);
        return;
    case PacketActionKind::ForwardToOwner:
        m_forwardToOwner.add();
        forwardToPeer(Arrival::ForwardToOwner, summary, packet, action);
        return;
    case PacketActionKind::ForwardToPreviousOwner:
        m_forwardToPreviousOwner.add();
        forwardToPeer(Arrival::ForwardToPreviousOwner, summary, packet, action);
        return;
    case PacketActionKind::RecordThenForward:
        m_recordThenForward.add();
        forwardToPeer(Arrival::Record, summary, packet, action);
        return;
    case PacketActionKind::Refuse:
        m_refusals.add(action.m_reason);
        answerCaller(summary, packet, action.m_reason);
        return;
    case PacketActionKind::ResetCaller:
        m_resets.add(action.m_reason);
        answerCaller(summary, packet, action.m_reason);
        return;
    }
}

void FouActionExecutor::forwardToPeer(
    Arrival arrival, const PacketSummary& summary, std::span<const std::byte> packet, const PacketAction& action)
{
    const Endpoint backend = arrival == Arrival::Record ? action.m_backend : Endpoint {};
    const PeerPacket message { arrival, incrementHops(summary.m_hops), backend, packet };
    m_toPeers.add(action.m_target, encodePeerPacket(message, m_toPeers.buffer()));
}

void FouActionExecutor::answerCaller(const PacketSummary& summary, std::span<const std::byte> packet, Reason reason)
{
    const std::span<std::byte> buffer = m_toFabric.buffer();
    const std::span<std::byte> answer = summary.m_flow.m_protocol == Protocol::Tcp
        ? buildReset(packet, buffer)
        : buildUnreachable(packet, unreachableCodeFor(reason), buffer);
    if (!answer.empty()) // no reset in answer to a reset
        m_toFabric.add(m_callerEndpoint, answer);
}

} // namespace cuminrelay
