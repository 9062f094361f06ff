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

/// How far a flow has come, as far as packets from the caller show it.
enum class FlowStage : std::uint8_t {
    Opening, ///< its first packet was seen
    Established,
    HalfClosed, ///< the caller has sent everything
    Reset,
};

/// What an entry VM holds of one flow, as its owner or as the replica of its owner.
struct FlowState {
    Deadline m_expires {};
    Deadline m_silentAt {}; ///< TCP: when retransmission without progress counts as a lost connection; epoch when none.
                            ///< UDP: when the replica must see the flow again
    std::uint32_t m_sequence = 0; ///< of the last packet with payload
    std::uint32_t m_acknowledgment = 0; ///< highest seen
    std::uint32_t m_carriedBytes = 0; ///< payload from the caller; saturates
    PackedEndpoint m_backend;
    PackedEndpoint m_service; ///< empty when only the replica's record is known: the flow then always counts as an
                              ///< exception
    PackedEndpoint m_replica; ///< the entry VM that also holds it; empty when none is known to
    Protocol m_protocol = Protocol::Tcp;
    FlowStage m_stage = FlowStage::Opening;
    std::uint8_t m_retransmissions = 0; ///< without progress, as seen here; saturates
    std::uint8_t m_relays = 0; ///< mid-stream packets that took the way through m_replica
    bool m_exception = false; ///< not on the default of every table that the bucket may be based on
    bool m_straggler = false;
    bool m_counted = false; ///< the board counts it as an open flow of this VM
};

/// The flows that one entry VM holds, in parts by bucket so that one part can be walked at a time.
///
/// Each part is an index with open addressing, whose entries hold a fingerprint of the flow's hash and the slot of its
/// state; a state fills one cache line and never moves. A look-up of many flows asks for all index lines first, then
/// for all states, so that their cache misses overlap.
///
/// Memory: 64 bytes a flow for the state and 11 to 21 for the index. Slots of ended flows are used again.
class FlowTable {
public:
    static constexpr std::size_t s_shardCount = 64;

    FlowTable();

    /// The state of a flow, or nullptr. Valid until generation() changes.
    FlowState* find(FlowHash hash);

    /// How many flows are looked up at once.
    static constexpr std::size_t s_batch = 32;

    /// The states of up to s_batch flows: found[i] answers hashes[i].
    void find(std::span<const FlowHash> hashes, std::span<FlowState*> found);

    /// Inserts or replaces the state of a flow.
    FlowState& put(FlowHash hash, const FlowState& state);

    void erase(FlowHash hash);

    /// Changes whenever pointers that find gave may have become invalid.
    std::uint64_t generation() const { return m_generation; }

    /// Calls visit(FlowHash, FlowState&) for each flow of one part. visit must not change the table.
    template <typename Visit> void walk(std::size_t shard, Visit visit);

    /// Erases the flows of one part for which isOver(FlowHash, FlowState&) holds; it is called once for each flow and
    /// must not change the table.
    template <typename Predicate> void eraseIf(std::size_t shard, Predicate isOver);

    /// The part that holds all flows of a bucket.
    static constexpr std::size_t shardIndex(Bucket bucket) { return bucket / (c_bucketCount / s_shardCount); }

    std::size_t size() const { return m_size; }

private:
    using Slot = std::uint32_t;
    static constexpr Slot s_noSlot = 0xffff'ffff;
    static constexpr std::size_t s_cacheLine = 64;

    /// A held flow; while its slot is free, m_hash is the next free slot.
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

    /// The index of one part. Its size is a power of two; at least a quarter of it is empty.
    struct Shard {
        std::vector<IndexEntry, boost::alignment::aligned_allocator<IndexEntry, s_cacheLine>> m_index;
        std::size_t m_mask = 0;
        std::size_t m_size = 0;

        std::size_t home(std::uint32_t fingerprint) const { return fingerprint & m_mask; }
        std::size_t next(std::size_t position) const { return (position + 1) & m_mask; }
    };

    // The top bits of the hash choose the part.
    static std::uint32_t fingerprintOf(FlowHash hash) { return static_cast<std::uint32_t>(hash.m_value); }

    Shard& shardOf(FlowHash hash) { return m_shards[shardIndex(bucketOf(hash))]; }
    Entry& entryAt(Slot slot) { return (*m_blocks[slot >> s_blockBits])[slot % s_blockSize]; }

    /// Where a flow stands in the index of its part, or the empty position where it would.
    std::size_t positionOf(const Shard& shard, FlowHash hash);

    /// The first entry that a flow's fingerprint leads to, or nullptr. Does not touch the entry.
    Entry* candidateOf(FlowHash hash);

    static void resize(Shard& shard, std::size_t indexSize);
    static std::size_t firstEmpty(const Shard& shard);
    void erasePosition(Shard& shard, std::size_t position);
    Slot takeSlot();
    void addBlock();
    void prefetchAhead(const Shard& shard, std::size_t position);

    std::array<Shard, s_shardCount> m_shards;
    std::vector<std::unique_ptr<Block>> m_blocks;
    Slot m_freeSlot = s_noSlot; ///< the first free slot of the blocks
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

template <typename Predicate> void FlowTable::eraseIf(std::size_t shard, Predicate isOver)
{
    Shard& walked = m_shards[shard];
    // Erasing moves later flows back, but never across an empty position: from one on, each flow is met once.
    std::size_t position = walked.next(firstEmpty(walked));
    for (std::size_t steps = 1; steps < walked.m_index.size(); ++steps) {
        prefetchAhead(walked, position);
        while (walked.m_index[position].m_slot != s_noSlot) {
            Entry& entry = entryAt(walked.m_index[position].m_slot);
            if (!isOver(entry.m_hash, entry.m_state))
                break;
            erasePosition(walked, position);
        }
        position = walked.next(position);
    }
}

} // namespace cuminrelay
