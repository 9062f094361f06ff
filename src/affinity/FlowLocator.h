#pragma once

#include "affinity/BackendCatalog.h"
#include "affinity/CarriedToken.h"
#include "affinity/ContestedFlows.h"
#include "affinity/LocatedFlows.h"
#include "affinity/TrackedFlows.h"
#include "packets/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cuminrelay {

/// Decides at which backend server the flow of a packet after the opening packet is open. A packet at any other backend
/// server gets the flow reset, so that a packet without proof is dropped; its caller sends it again. The rules are in
/// docs/design/flow-location.md.
///
/// The evidence, the strongest first:
/// - A settled token: only the backend server that holds the flow answers with it.
/// - The record of a contested flow that says where it is open.
/// - The record of the flow at this VM, if packets after the opening have passed it, also long ago.
/// - The first packet after the opening, or a retransmission of it: its opening token is that of the answer that opened
///   the flow, unless the flow was open before, and then the VM that sent the first packet on has reported it.
/// - An opening token, as long as no copy of the opening packet can have reached another VM.
/// - The token of a first opening packet that was sent just now, at a VM that has no record of the flow, if the VM
/// would
///   have been told of copies. An older token may be of an earlier flow with the same addresses and ports.
///
/// For a flow that it cannot locate, the VM asks the others of its zone. The caller retransmits meanwhile.
class FlowLocator {
public:
    /// The flows about which questions are remembered.
    static constexpr std::size_t s_maxQuestions = 1'024;

    /// The references must outlive the locator.
    FlowLocator(const BackendCatalog& backends, ContestedFlows& contestedFlows);

    /// Returns the token of the backend server where the flow of a packet after the opening packet is open; 0: unknown.
    /// record: of this flow at this VM; nullptr if there is none. Records what the packet decides.
    BackendToken locate(const PacketSummary& packet, FlowHash hash, const TrackedFlow* record, Instant now);

    /// Applies what another VM found about a contested flow; record: of a flow with the same addresses and ports here.
    void apply(const ContestedFlowReport& found, const TrackedFlow* record, Instant now);

    /// What this VM knows of a flow that another VM asks about; record: of that flow here.
    std::optional<ContestedFlowReport> answer(FlowHash hash, const TrackedFlow* record, Instant now);

    /// Remembers where the flow of a record is open that the router has removed.
    void recordRemoved(const TrackedFlow& record, Instant now);

    /// Removes and returns the flows to ask the VMs of the local zone about.
    std::vector<FlowHash> takeQuestions();

    /// The token for an opening packet to a backend server.
    std::uint32_t openingToken(BackendToken backend, FlowHash hash, std::uint32_t openingSequence, Instant now) const;

    /// Sets the time of day, which dates opening tokens.
    void setTimeOfDay(Duration sinceUnixEpoch, Instant now);

    /// Forgets old questions and flows; call about once a second. Cost: O(questions and flows).
    void sweep(Instant now);

private:
    BackendToken locateByOpeningToken(const PacketSummary& packet, FlowHash hash, const CarriedToken& carried,
        const ContestedFlow* contested, const TrackedFlow* record, Instant now);
    BackendToken backendNamedBy(const CarriedToken& carried, const TrackedFlow* record) const;
    bool isTrusted(const CarriedToken& carried, FlowHash hash, Instant now) const;
    void ask(FlowHash hash, Instant now);
    const ContestedFlow* contestedFlowOf(
        const PacketSummary& packet, FlowHash hash, const TrackedFlow* record, const LocatedFlow* located, Instant now);
    std::optional<LocatedFlow> lastLocated(FlowHash hash, const TrackedFlow* record) const;
    void recordFound(FlowHash hash, const LocatedFlow& located, Instant now);
    Duration timeOfDay(Instant now) const { return now.time_since_epoch() + m_timeOfDayOffset; }

    const BackendCatalog& m_backends;
    ContestedFlows& m_contestedFlows;
    LocatedFlows m_locatedFlows; ///< without those that have a record
    boost::unordered_flat_map<std::uint64_t, Deadline> m_nextQuestionAt; ///< by flow, for those asked about lately
    std::vector<FlowHash> m_questions; ///< to send
    Duration m_timeOfDayOffset {}; ///< from the time base of Instant
};

} // namespace cuminrelay
