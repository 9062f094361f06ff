#pragma once

#include "base/Time.h"
#include "flows/OwnerMap.h"
#include "flows/Packet.h"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

namespace cuminrelay {

/// How far a flow has come, as far as packets from the caller show it.
enum class FlowStage : std::uint8_t {
    Opening, ///< its first packet was seen
    Established,
    HalfClosed, ///< the caller has sent everything
    Reset,
};

/// What an entry VM holds of one flow, as its owner or as the replica of its owner.
struct FlowState {
    Endpoint m_backend;
    Endpoint m_service; ///< empty when only the replica's record is known: the flow then always counts as an exception
    Endpoint m_replica; ///< the entry VM that also holds it; empty when none is known to
    Deadline m_expires {};
    Deadline m_silentAt {}; ///< TCP: when retransmission without progress counts as a lost connection; epoch when none.
                            ///< UDP: when the replica must see the flow again
    std::uint32_t m_sequence = 0; ///< of the last packet with payload
    std::uint32_t m_acknowledgment = 0; ///< highest seen
    std::uint32_t m_carriedBytes = 0; ///< payload from the caller; saturates
    Protocol m_protocol = Protocol::Tcp;
    FlowStage m_stage = FlowStage::Opening;
    std::uint8_t m_retransmissions = 0; ///< without progress, as seen here; saturates
    std::uint8_t m_relays = 0; ///< mid-stream packets that took the way through m_replica
    bool m_exception = false; ///< not on the default of every table that the bucket may be based on
    bool m_straggler = false;
    bool m_counted = false; ///< the board counts it as an open flow of this VM
};

/// The flows that one entry VM holds, split by bucket so that one part can be walked at a time.
///
/// Memory: about 80 bytes a flow. Look-up: one hash probe.
class FlowTable {
public:
    static constexpr std::size_t s_shardCount = 64;
    using Shard = boost::unordered_flat_map<std::uint64_t, FlowState>;

    /// The state of a flow, or nullptr. Valid until generation() changes.
    FlowState* find(FlowHash hash)
    {
        Shard& shard = shardOf(hash);
        const auto found = shard.find(hash.m_value);
        return found == shard.end() ? nullptr : &found->second;
    }

    /// Inserts or replaces the state of a flow.
    FlowState& put(FlowHash hash, const FlowState& state)
    {
        ++m_generation;
        return shardOf(hash).insert_or_assign(hash.m_value, state).first->second;
    }

    void erase(FlowHash hash)
    {
        ++m_generation;
        shardOf(hash).erase(hash.m_value);
    }

    /// Changes whenever pointers that find gave may have become invalid.
    std::uint64_t generation() const { return m_generation; }

    /// One part of the table, to walk or to expire. Erasing from it invalidates pointers into it.
    Shard& shard(std::size_t index) { return m_shards[index]; }

    /// The shard that holds all flows of a bucket.
    static constexpr std::size_t shardIndex(Bucket bucket) { return bucket / (c_bucketCount / s_shardCount); }

    std::size_t size() const
    {
        std::size_t sum = 0;
        for (const Shard& shard : m_shards)
            sum += shard.size();
        return sum;
    }

private:
    Shard& shardOf(FlowHash hash) { return m_shards[shardIndex(bucketOf(hash))]; }

    std::array<Shard, s_shardCount> m_shards;
    std::uint64_t m_generation = 0;
};

} // namespace cuminrelay
