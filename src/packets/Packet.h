#pragma once

#include "base/Endpoint.h"
#include "configuration/Model.h"

#include <cstdint>
#include <string_view>

namespace cuminrelay {

/// The 5-tuple that identifies a flow, as in the caller's packets.
struct FlowKey {
    Endpoint m_caller;
    Endpoint m_service;
    Protocol m_protocol = Protocol::Tcp;

    friend constexpr auto operator<=>(const FlowKey&, const FlowKey&) = default;
};

/// Identifies a flow in tables and between entry VMs: XXH3 of its key. The probability that two live flows of one
/// deployment share a hash is below 1e-6 at 4.3 million flows; tables compare only the hash.
struct FlowHash {
    std::uint64_t m_value = 0;

    friend constexpr auto operator<=>(FlowHash, FlowHash) = default;
};

FlowHash hashFlow(const FlowKey& key);

/// The effect of a packet on its flow's state.
enum class PacketKind : std::uint8_t {
    Opening, ///< TCP SYN without ACK
    Midstream, ///< TCP with ACK and neither SYN, FIN nor RST
    HalfClose, ///< TCP FIN from the caller
    Reset, ///< TCP RST from the caller
    Datagram, ///< UDP: may open a flow or belong to one
};

/// The route of a packet to this entry VM.
enum class Arrival : std::uint8_t {
    Fabric, ///< directly from the packet fabric
    ForwardToOwner, ///< from a peer that regards this VM as the flow's owner
    ForwardToPreviousOwner, ///< from the owner, which does not have the flow yet, to this VM as its previous owner
    Record, ///< from the owner to its replica, which records m_recordedBackend and forwards the packet to it
};

/// One packet as input of a decision. It refers to no buffer; the front end holds the bytes at the same index.
struct PacketSummary {
    FlowKey m_flow;
    PacketKind m_kind = PacketKind::Midstream;
    Arrival m_arrival = Arrival::Fabric;
    std::uint8_t m_hops = 0; ///< number of times that an entry VM forwarded the packet
    std::uint16_t m_payloadBytes = 0;
    std::uint32_t m_sequence = 0; ///< TCP only
    std::uint32_t m_acknowledgment = 0; ///< TCP only
    Endpoint m_peer; ///< the sending entry VM; unset if from the fabric
    Endpoint m_recordedBackend; ///< the backend server that the owner chose; for Arrival::Record
    std::uint32_t m_carriedToken = 0; ///< token that the caller received last; 0: none or not supported
    std::uint8_t m_retransmissions = 0; ///< earlier transmissions of an opening packet, if it carries their number
};

enum class PacketActionKind : std::uint8_t {
    Drop,
    ToBackend, ///< encapsulate to m_target, a backend server
    ForwardToOwner, ///< forward to m_target, the entry VM that owns the flow
    ForwardToPreviousOwner, ///< forward to m_target, the previous owner of the flow
    RecordThenForward, ///< forward to m_target, the replica, which records m_backend and forwards the packet to it
    Refuse, ///< send the caller a TCP reset or an ICMP unreachable; no backend server got the packet
    ResetCaller, ///< the flow cannot continue: reset the caller so that it reconnects
};

/// The cause of a drop, refusal or reset. Each reason has a counter.
enum class Reason : std::uint8_t {
    None,
    UnknownService,
    NoBackendServer, ///< no eligible backend server in the service
    ZoneEvacuated, ///< the service's backend servers are all in evacuated zones
    WarmupBudget, ///< the service's backend servers are all cold, and this VM has no permit for one
    HopLimit, ///< the packet looped because views disagree
    OwnerPartitioned, ///< the owner may be in a partitioned zone
    BackendPartitioned, ///< a datagram that may belong to a flow whose backend server is unreachable
    UnknownFlowDuringPartition, ///< a mid-stream packet; another zone may hold its flow during the partition
    UnknownFlowHolderUnreachable, ///< a mid-stream packet of a flow whose state is on an unreachable VM that may return
    AdmissionQueueFull, ///< the flow would wait too long for capacity
    AdmissionShare, ///< this VM's even share of the free capacity is exhausted
    FlowTableFull,
    StalledConnection, ///< the caller retransmits without progress
    StaleAfterPause, ///< may have been queued during a pause of this process
    NotMember, ///< the source is neither the fabric nor a current or previous peer
    Malformed,
    Fragment,
    Truncated,
    UnsupportedProtocol,
    NotConfigured, ///< this VM has no configuration or no list of backend servers yet
    StateUnconfirmed, ///< this VM's state of the store may be outdated, so that it refuses and resets nothing by it
    UnknownBackend, ///< token of a backend server that is not in this VM's list
    OpeningUnproven, ///< token of an answer to an opening packet; the flow may be open at another backend server
    BackendGone, ///< the flow's backend server has left or failed
    Count,
};

/// The stable snake_case name of a reason in counters and command-line output.
std::string_view reasonName(Reason reason);

struct PacketAction {
    PacketActionKind m_kind = PacketActionKind::Drop;
    Reason m_reason = Reason::None;
    Endpoint m_target;
    Endpoint m_backend;
    std::uint64_t m_identity = 0; ///< of the only backend server process that may accept the packet, if supported
    std::uint32_t m_token = 0; ///< to write into the packet, if the front end supports tokens
};

} // namespace cuminrelay
