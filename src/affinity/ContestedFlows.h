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
/// packet. The first packet after the opening packet decides, because the caller sends it in response to the answer
/// that opened the flow. Each VM passes on what is new to it once. The VMs that saw a flow repeat it most; the others
/// do too, so that it outlives the processes of those. A VM that starts restores the records of one that runs.
///
/// Records of flows that were opened before knownSince() may be missing here, because no VM that runs has them.
/// Memory: some 50 bytes a flow, up to s_maxFlows.
class ContestedFlows {
public:
    /// 0.2% of 45,000 flows a second for the maximum lifetime of a flow.
    static constexpr std::size_t s_maxFlows = 8'192;
    static constexpr std::size_t s_maxChanges = 256;

    /// startedAt: of this VM.
    ContestedFlows(std::uint64_t seed, Instant startedAt);

    /// Records that an opening packet that is placed here may have reached another backend server before. Returns false
    /// if the limit is reached.
    bool add(FlowHash flow, std::uint32_t openingSequence, Instant now);

    /// Forgets a flow whose addresses and ports have been used again for a new one.
    void removeIfReused(FlowHash flow, std::uint32_t openingSequence);

    bool contains(FlowHash flow, std::uint32_t openingSequence) const;

    /// Returns where the flow of a midstream packet is open, which its first one decides by the backend server that its
    /// token names; 0 if the flow is not contested, or the token names none. openingSequence: nullopt if this VM does
    /// not know it.
    BackendToken resolve(
        FlowHash flow, std::optional<std::uint32_t> openingSequence, BackendToken carried, Instant now);

    /// Applies what another VM found. What was found here takes precedence, unless it is of an earlier flow.
    void apply(const ContestedFlowReport& found, Instant now);

    /// Adds all that another VM knows, which has the records of all flows opened since a time.
    void restore(std::span<const ContestedFlowReport> found, Instant knownSince, Instant now);

    /// Records that messages of other VMs may have been lost until now.
    void recordGap(Instant now) { m_knownSince = std::max(m_knownSince, now); }

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
    void recordOwnChange(Entry& entry);
    void recordChange(FlowHash flow);
    void appendSample(std::span<const std::uint64_t> hashes, std::size_t count, Instant now,
        std::vector<ContestedFlowReport>& reports);
    void append(std::uint64_t hash, Instant now, std::vector<ContestedFlowReport>& reports) const;

    boost::unordered_flat_map<std::uint64_t, Entry> m_flows;
    std::vector<std::uint64_t> m_own; ///< added or resolved here, also some that are removed
    std::vector<std::uint64_t> m_others; ///< reported by other VMs, the latest last; also some removed or own by now
    bool m_repeatsLatest = false; ///< the last message listed one of the latest
    std::vector<std::uint64_t> m_changed; ///< not listed since their last change, up to s_maxChanges
    Instant m_knownSince;
    std::uint64_t m_refused = 0;
    std::minstd_rand m_random;
};

} // namespace cuminrelay
