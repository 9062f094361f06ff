#pragma once

#include "base/Endpoint.h"
#include "configuration/Model.h"

#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// The five values that name a flow, as the caller's packets carry them.
struct FlowKey {
    Endpoint m_caller;
    Endpoint m_service;
    Protocol m_protocol = Protocol::Tcp;

    friend constexpr auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

/// The identity of a flow in tables and between entry VMs: XXH3 of its key. Two live flows of one deployment share a
/// hash with probability below 1e-6 at 4.3 million flows; the service is compared as well.
struct FlowHash {
    std::uint64_t m_value = 0;

    friend constexpr auto operator<=>(FlowHash, FlowHash) = default;
};

FlowHash hashFlow(const FlowKey& key);

/// What a packet means for the life of its flow.
enum class PacketKind : std::uint8_t {
    Opening, ///< TCP SYN without ACK
    Midstream, ///< TCP with ACK and neither SYN, FIN nor RST
    HalfClose, ///< TCP FIN from the caller
    Reset, ///< TCP RST from the caller
    Datagram, ///< UDP: may open a flow or belong to one
};

/// How a packet came to this entry VM.
enum class Arrival : std::uint8_t {
    Fabric, ///< straight from the packet fabric
    AskOwner, ///< a peer takes this VM for the owner of the flow
    AskPrevious, ///< the flow's owner does not know the flow yet and takes this VM for its previous owner
    Record, ///< the flow's owner has chosen m_recorded; note it as its replica, then forward
};

/// One packet as decisions see it. It refers to no buffer; the front end keeps the bytes at the same index.
struct PacketSummary {
    FlowKey m_flow;
    PacketKind m_kind = PacketKind::Midstream;
    Arrival m_arrival = Arrival::Fabric;
    std::uint8_t m_hops = 0; ///< peers that it went through
    std::uint16_t m_payloadBytes = 0;
    std::uint32_t m_sequence = 0; ///< TCP only
    std::uint32_t m_acknowledgment = 0; ///< TCP only
    Endpoint m_peer; ///< the sending entry VM, unless from the fabric
    Endpoint m_recorded; ///< the backend server that the owner chose; for Arrival::Record
    std::uint32_t m_carriedToken = 0; ///< names the flow's backend server where packets can carry that; 0: none
    std::uint8_t m_copy = 0; ///< of an opening: how often it was sent before, as far as the packet says so
};

enum class VerdictKind : std::uint8_t {
    Drop,
    ToBackend, ///< encapsulate to m_target, a backend server
    AskOwner, ///< hand to m_target, the entry VM that owns the flow
    AskPrevious, ///< hand to m_target, the entry VM that owned the flow before
    RecordThenForward, ///< hand to m_target, the replica, which notes m_backend and forwards the packet to it
    Refuse, ///< answer the caller with a TCP reset or an ICMP unreachable; nothing reached a backend server
    ResetCaller, ///< the flow's two ends lost track of each other: reset the caller so that it reconnects
};

/// Why a packet was dropped or refused. Each has a counter.
enum class Reason : std::uint8_t {
    None,
    UnknownService,
    NoBackendServer, ///< no eligible backend server in the service
    HopLimit,
    OwnerBeyondCut,
    BackendBeyondCut, ///< a datagram that may belong to a flow whose backend server cannot be reached
    UnknownFlowDuringCut, ///< a mid-stream packet that cannot be placed safely while a cut lasts
    UnknownFlowHolderAway, ///< a mid-stream packet of a flow that is held by a VM that may come back
    AdmissionQueueFull,
    AdmissionShare, ///< this VM's even share of the free capacity is used up
    FlowTableFull,
    SilentConnection,
    StaleAfterPause, ///< it may have waited while this process did not run
    NotMember, ///< from an address that is in no current or previous view
    Malformed,
    Fragment,
    Truncated,
    UnsupportedProtocol,
    NotConfigured, ///< this VM has no configuration or no list of backend servers yet
    UnknownBackend, ///< it names a backend server that this VM has not heard of
    BackendGone, ///< its backend server has left or died
    Count,
};

/// The stable snake_case name of a reason, as counters and the command line print it.
std::string_view reasonName(Reason reason);

/// What is to be done with one packet.
struct Verdict {
    VerdictKind m_kind = VerdictKind::Drop;
    Reason m_reason = Reason::None;
    Endpoint m_target;
    Endpoint m_backend;
    std::uint64_t m_identity = 0; ///< of the one start of the backend server that may take the packet, where told apart
    std::uint32_t m_token = 0; ///< what the packet is to carry from here on, where packets can carry that
};

} // namespace cuminrelay
