#pragma once

#include "affinity/Backend.h"
#include "base/Time.h"
#include "packets/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace cuminrelay {

/// Flow whose opening packet may have reached several backend servers. Each of them repeats its answer for seconds, and
/// the caller's packets carry the token of the last one received, wherever the flow is open.
struct ContestedFlow {
    FlowHash m_flow;
    std::uint32_t m_openingSequence = 0; ///< distinguishes a later flow of the same addresses and ports
    BackendToken m_backend; ///< where the flow is open; 0: not known yet

    friend constexpr bool operator==(const ContestedFlow&, const ContestedFlow&) = default;
};

/// A contested flow as one entry VM reports it to another.
struct ContestedFlowReport {
    ContestedFlow m_content;
    std::chrono::milliseconds m_age {}; ///< since it was recorded, rounded up

    friend constexpr bool operator==(const ContestedFlowReport&, const ContestedFlowReport&) = default;
};

/// Remembers where contested flows are open, on all VMs: after a change of the rotation, any VM may get the next
/// packet. A VM reports each change that it makes itself to all VMs of its zone, before the packet that causes it is
/// sent on: the report then outlives the VM, and no answer to the packet arrives earlier. Each VM passes on once what
/// is new to it. The VMs that saw a flow repeat it most; the others do too, so that it outlives the processes of those.
/// A VM that starts restores the records of one that runs.
///
/// Records of flows that were opened before knownSince() may be missing here: other VMs may have reported them while
/// this one did not run or had no contact. Memory: some 50 bytes a flow, up to s_maxFlows.
class ContestedFlows {
public:
    /// 0.2% of 45,000 flows a second for the maximum lifetime of a flow.
    static constexpr std::size_t s_maxFlows = 8'192;
    static constexpr std::size_t s_maxChanges = 256;

    /// startedAt: of this VM.
    ContestedFlows(std::uint64_t seed, Instant startedAt);

    /// Records that an opening packet that is placed here may have reached another backend server before. Replaces the
    /// record of an earlier flow of the same addresses and ports. Returns false if the limit is reached.
    bool add(FlowHash flow, std::uint32_t openingSequence, Instant now) { return add(flow, openingSequence, now, now); }

    /// The same of a flow that was opened earlier.
    bool add(FlowHash flow, std::uint32_t openingSequence, Instant openedAt, Instant now);

    bool contains(FlowHash flow, std::uint32_t openingSequence) const;

    /// The record of the flow that a packet with a sequence number belongs to; nullptr if it is not known to be
    /// contested. Valid until the next call of another member.
    const ContestedFlow* find(FlowHash flow, std::uint32_t sequence, Instant now) const;

    /// The record of a flow, whichever packets it has.
    std::optional<ContestedFlowReport> report(FlowHash flow, Instant now) const;

    /// Records where a contested flow is open, as this VM found. Without effect on other flows.
    void resolve(FlowHash flow, BackendToken backend, Instant now);

    /// Applies what another VM found. What was found here takes precedence, unless it is of an earlier flow.
    void apply(const ContestedFlowReport& found, Instant now);

    /// Whether takeNotices would return flows.
    bool hasNotices(Instant now) const { return !m_notices.empty() && now >= m_nextNoticeAt; }

    /// Removes and returns the flows to report to all VMs of the local zone at once: those that this VM added or
    /// resolved since the last call, and, once more, those that it reported some time ago: the datagram may have been
    /// lost.
    std::vector<ContestedFlowReport> takeNotices(Instant now);

    /// The latest flows that this VM added or resolved, at most count, for a VM that it did not know before.
    std::vector<ContestedFlowReport> latestOwn(std::size_t count, Instant now) const;

    /// Adds all that another VM knows, which has the records of all flows opened since a time.
    void restore(std::span<const ContestedFlowReport> found, Instant knownSince, Instant now);

    /// Records that this VM may not have been told of flows that were opened until then.
    void recordGap(Instant until) { m_knownSince = std::max(m_knownSince, until); }

    /// The records of all contested flows that were opened since then are here, or on their way from another VM.
    Instant knownSince() const { return m_knownSince; }

    /// How long ago that was, rounded down; at most the maximum lifetime of a flow.
    std::chrono::milliseconds knownFor(Instant now) const;

    bool hasChanges() const { return !m_changed.empty(); }

    /// Returns up to count flows for a message: first those that changed since they were last listed, then a random
    /// choice of the others, most of them added or resolved here, so that in time each VM receives all.
    std::vector<ContestedFlowReport> takeForMessage(std::size_t count, Instant now);

    /// All flows, for a VM that has just started.
    std::vector<ContestedFlowReport> reports(Instant now) const;

    /// Removes flows after their maximum lifetime; call about once a second. Cost: O(contested flows).
    void sweep(Instant now);

    std::size_t size() const { return m_flows.size(); }

    /// How many times a flow was not recorded because of the limit.
    std::uint64_t refused() const { return m_refused; }

private:
    struct Entry {
        ContestedFlow m_content;
        Instant m_recordedAt {}; ///< on the first VM
        bool m_isOwn = false; ///< added or resolved here
    };

    Entry* insert(const ContestedFlow& flow, Instant recordedAt, Instant now);

    /// Updates or adds a flow. Returns whether that was new here.
    bool merge(const ContestedFlowReport& found, Instant now);
    /// A report to all VMs of the local zone that is due.
    struct Notice {
        std::uint64_t m_flow = 0;
        Deadline m_dueAt {};
        bool m_isRepetition = false;
    };

    void recordOwnChange(Entry& entry, Instant now);
    void recordChange(FlowHash flow);
    void addNotice(std::uint64_t flow, Instant now);
    void appendSample(std::span<const std::uint64_t> hashes, std::size_t count, Instant now,
        std::vector<ContestedFlowReport>& reports);
    void append(std::uint64_t hash, Instant now, std::vector<ContestedFlowReport>& reports) const;

    boost::unordered_flat_map<std::uint64_t, Entry> m_flows;
    std::vector<std::uint64_t> m_own; ///< added or resolved here, also some that are removed
    std::vector<std::uint64_t> m_others; ///< reported by other VMs, the latest last; also some removed or own by now
    bool m_repeatsLatest = false; ///< the last message listed one of the latest
    std::vector<std::uint64_t> m_changed; ///< not listed since their last change, up to s_maxChanges
    std::vector<Notice> m_notices; ///< at most one a flow
    Deadline m_nextNoticeAt {}; ///< the earliest of m_notices
    Instant m_knownSince;
    std::uint64_t m_refused = 0;
    std::minstd_rand m_random;
};

} // namespace cuminrelay
