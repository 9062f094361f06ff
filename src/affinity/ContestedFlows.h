#pragma once

#include "affinity/Backend.h"
#include "base/Time.h"
#include "packets/Packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <random>
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

/// Remembers where contested flows are open, on the VMs that saw it and, by their messages, on the others: after a
/// change of the rotation, any VM may get the next packet. The first packet after the opening packet decides, because
/// the caller sends it in response to the answer that opened the flow. Each VM passes on what is new to it once, and
/// the VMs that saw it repeat it. Memory: some 40 bytes a flow, up to s_maxFlows.
class ContestedFlows {
public:
    static constexpr std::size_t s_maxFlows = 4'096;
    static constexpr std::size_t s_maxChanges = 256;

    explicit ContestedFlows(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Records that an opening packet that is placed here may have reached another backend server before.
    void add(FlowHash flow, std::uint32_t openingSequence, Instant now);

    /// Forgets a flow whose addresses and ports have been used again for a new one.
    void removeIfReused(FlowHash flow, std::uint32_t openingSequence);

    /// Returns where the flow of a midstream packet is open, which its first one decides by its token; 0 if the flow is
    /// not contested, or the packet carries no token.
    BackendToken resolve(FlowHash flow, BackendToken carried, Instant now);

    /// Applies what another VM found. What was found here takes precedence.
    void apply(const ContestedFlow& found, Instant now);

    bool hasChanges() const { return !m_changed.empty(); }

    /// Returns up to count flows for a message: first those that changed since they were last listed, then a random
    /// choice of those added or resolved here, so that in time each VM receives all.
    std::vector<ContestedFlow> takeForMessage(std::size_t count);

    /// Removes flows after their maximum lifetime; call about once a second. Cost: O(contested flows).
    void sweep(Instant now);

    std::size_t size() const { return m_flows.size(); }

    /// How many times a flow was not recorded because of the limit.
    std::uint64_t refused() const { return m_refused; }

private:
    struct Entry {
        ContestedFlow m_content;
        Deadline m_expiresAt {};
        bool m_isOwn = false; ///< added or resolved here
    };

    Entry* insert(const ContestedFlow& flow, Instant now);
    void recordOwnChange(Entry& entry);
    void recordChange(FlowHash flow);
    void append(std::uint64_t hash, std::vector<ContestedFlow>& flows) const;

    boost::unordered_flat_map<std::uint64_t, Entry> m_flows;
    std::vector<std::uint64_t> m_own; ///< added or resolved here, also some that are removed
    std::vector<std::uint64_t> m_changed; ///< not listed since their last change, up to s_maxChanges
    std::uint64_t m_refused = 0;
    std::minstd_rand m_random;
};

} // namespace cuminrelay
