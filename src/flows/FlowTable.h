#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "flows/OwnerMap.h"
#include "packets/Packet.h"

#include <array>
#include <boost/align/aligned_allocator.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace cuminrelay {

/// The stage of a flow, as seen in the caller's packets.
enum class FlowStage : std::uint8_t {
    /// The first packet was seen.
    Opening,
    Established,
    /// The caller has closed its direction.
    HalfClosed,
    Reset,
};

/// The state of one flow at its owner or at the owner's replica.
struct FlowState {
    Deadline m_expires {};
    /// TCP: when retransmission without progress counts as a lost connection; epoch when none.
    /// UDP: when the next datagram has to go through the replica.
    Deadline m_stallOrRefreshAt {};
    /// Sequence number of the last packet with payload.
    std::uint32_t m_sequence = 0;
    /// Highest acknowledgment number seen.
    std::uint32_t m_acknowledgment = 0;
    /// Payload from the caller; saturates.
    std::uint32_t m_receivedBytes = 0;
    PackedEndpoint m_backend;
    /// Empty when this VM has only a FlowRecord of the flow, which then always counts as an override.
    PackedEndpoint m_service;
    /// The other VM that holds this state: the replica or, there, the owner; empty when none.
    PackedEndpoint m_replica;
    Protocol m_protocol = Protocol::Tcp;
    FlowStage m_stage = FlowStage::Opening;
    /// Retransmissions without progress that reached this VM; saturates.
    std::uint8_t m_retransmissions = 0;
    /// Mid-stream packets and datagrams sent through m_replica.
    std::uint8_t m_relays = 0;
    /// Not on the default of every configuration version from the bucket's base version on.
    bool m_isOverride = false;
    /// The caller has sent at least c_stragglerBytes.
    bool m_isStraggler = false;
    /// Counted by BackendStatusTable as an open flow of this VM.
    bool m_isCounted = false;
};

/// Hash table of the flows of one entry VM, sharded by bucket so that one shard can be walked at a time.
///
/// The index of each shard uses open addressing. An index entry holds a fingerprint of the flow hash and the slot of
/// the state. A state with its hash fills one cache line and never moves. A batch look-up prefetches all index lines,
/// then all states, so that the cache misses overlap.
///
/// Memory: 64 bytes a flow for the state and 11 to 21 for the index. Slots of ended flows are reused.
class FlowTable {
public:
    static constexpr std::size_t s_shardCount = 64;

    FlowTable();

    /// The state of a flow, or nullptr; valid until generation() changes.
    FlowState* find(FlowHash hash);

    /// Maximum number of flows in a batch look-up.
    static constexpr std::size_t s_batch = 32;

    /// Looks up at most s_batch flows: found[i] becomes the state of hashes[i], or nullptr.
    void find(std::span<const FlowHash> hashes, std::span<FlowState*> found);

    /// Inserts or replaces the state of a flow.
    FlowState& put(FlowHash hash, const FlowState& state);

    void erase(FlowHash hash);

    /// Changes whenever pointers returned by find() may have become invalid.
    std::uint64_t generation() const { return m_generation; }

    /// Calls visit(FlowHash, FlowState&) for each flow of a shard. visit must not change the table.
    template <typename Visit> void walk(std::size_t shard, Visit visit);

    /// Erases the flows of a shard for which mustErase(FlowHash, FlowState&) returns true. Calls it once for each flow;
    /// it must not change the table.
    template <typename Predicate> void eraseIf(std::size_t shard, Predicate mustErase);

    static constexpr std::size_t shardIndex(Bucket bucket) { return bucket / (c_bucketCount / s_shardCount); }

    std::size_t size() const { return m_size; }

private:
    using Slot = std::uint32_t;
    static constexpr Slot s_noSlot = 0xffff'ffff;
    static constexpr std::size_t s_cacheLine = 64;

    /// A flow. While the slot is free, m_hash holds the next free slot.
    struct alignas(s_cacheLine) Entry {
        FlowHash m_hash;
        FlowState m_state;
    };
    static_assert(sizeof(Entry) == s_cacheLine);

    static constexpr unsigned s_blockBits = 9;
    static constexpr std::size_t s_blockSize = std::size_t { 1 } << s_blockBits;
    using Block = std::array<Entry, s_blockSize>;

    struct IndexEntry {
        std::uint32_t m_fingerprint = 0;
        Slot m_slot = s_noSlot;
    };

    /// The size of m_index is a power of two; at least a quarter of its positions are empty.
    struct Shard {
        std::vector<IndexEntry, boost::alignment::aligned_allocator<IndexEntry, s_cacheLine>> m_index;
        std::size_t m_mask = 0;
        std::size_t m_size = 0;

        std::size_t home(std::uint32_t fingerprint) const { return fingerprint & m_mask; }
        std::size_t next(std::size_t position) const { return (position + 1) & m_mask; }
    };

    // Uses the low bits, as the top bits select the shard.
    static std::uint32_t fingerprintOf(FlowHash hash) { return static_cast<std::uint32_t>(hash.m_value); }

    Shard& shardOf(FlowHash hash) { return m_shards[shardIndex(bucketOf(hash))]; }
    Entry& entryAt(Slot slot) { return (*m_blocks[slot >> s_blockBits])[slot % s_blockSize]; }

    /// The index position of a flow, or the empty position for inserting it.
    std::size_t positionOf(const Shard& shard, FlowHash hash);

    /// The first entry with the fingerprint of a flow, or nullptr. Does not read the entry.
    Entry* candidateOf(FlowHash hash);

    static void resize(Shard& shard, std::size_t indexSize);
    static std::size_t firstEmpty(const Shard& shard);
    void erasePosition(Shard& shard, std::size_t position);
    Slot allocateSlot();
    void addBlock();
    void prefetchAhead(const Shard& shard, std::size_t position);

    std::array<Shard, s_shardCount> m_shards;
    std::vector<std::unique_ptr<Block>> m_blocks;
    Slot m_freeSlot = s_noSlot;
    std::size_t m_size = 0;
    std::uint64_t m_generation = 0;
};

template <typename Visit> void FlowTable::walk(std::size_t shard, Visit visit)
{
    const Shard& walked = m_shards[shard];
    for (std::size_t position = 0; position < walked.m_index.size(); ++position) {
        prefetchAhead(walked, position);
        const Slot slot = walked.m_index[position].m_slot;
        if (slot == s_noSlot)
            continue;
        Entry& entry = entryAt(slot);
        visit(entry.m_hash, entry.m_state);
    }
}

template <typename Predicate> void FlowTable::eraseIf(std::size_t shard, Predicate mustErase)
{
    Shard& walked = m_shards[shard];
    // Erasing moves later flows back, but never across an empty position. A walk from an empty position therefore
    // visits each flow once.
    std::size_t position = walked.next(firstEmpty(walked));
    for (std::size_t steps = 1; steps < walked.m_index.size(); ++steps) {
        prefetchAhead(walked, position);
        while (walked.m_index[position].m_slot != s_noSlot) {
            Entry& entry = entryAt(walked.m_index[position].m_slot);
            if (!mustErase(entry.m_hash, entry.m_state))
                break;
            erasePosition(walked, position);
        }
        position = walked.next(position);
    }
}

} // namespace cuminrelay
