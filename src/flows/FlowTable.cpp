#include "flows/FlowTable.h"

#include "base/Assert.h"

#include <algorithm>
#include <utility>

namespace cuminrelay {

namespace {

    constexpr std::size_t c_minimumIndexSize = 8;

    /// Of a walk, in index positions.
    constexpr std::size_t c_prefetchDistance = 16;

    /// Whether one more flow would fill more than three quarters of the index.
    bool isFull(std::size_t flows, std::size_t indexSize)
    {
        return 4 * (flows + 1) > 3 * indexSize;
    }

} // namespace

FlowTable::FlowTable()
{
    for (Shard& shard : m_shards)
        resize(shard, c_minimumIndexSize);
}

FlowState* FlowTable::find(FlowHash hash)
{
    const Shard& shard = shardOf(hash);
    const Slot slot = shard.m_index[positionOf(shard, hash)].m_slot;
    return slot == s_noSlot ? nullptr : &entryAt(slot).m_state;
}

void FlowTable::find(std::span<const FlowHash> hashes, std::span<FlowState*> found)
{
    CR_ASSERT(hashes.size() == found.size() && hashes.size() <= s_batch,
        "found must have one element for each hash of a batch");
    for (const FlowHash hash : hashes) {
        const Shard& shard = shardOf(hash);
        __builtin_prefetch(&shard.m_index[shard.home(fingerprintOf(hash))]);
    }
    std::array<Entry*, s_batch> candidates;
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        candidates[i] = candidateOf(hashes[i]);
        if (candidates[i])
            __builtin_prefetch(candidates[i], 1);
    }
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        const bool isOther = candidates[i] && candidates[i]->m_hash != hashes[i];
        if (isOther)
            found[i] = find(hashes[i]);
        else
            found[i] = candidates[i] ? &candidates[i]->m_state : nullptr;
    }
}

FlowState& FlowTable::put(FlowHash hash, const FlowState& state)
{
    ++m_generation;
    Shard& shard = shardOf(hash);
    if (isFull(shard.m_size, shard.m_index.size()))
        resize(shard, 2 * shard.m_index.size());
    IndexEntry& index = shard.m_index[positionOf(shard, hash)];
    if (index.m_slot == s_noSlot) {
        index = { fingerprintOf(hash), allocateSlot() };
        ++shard.m_size;
        ++m_size;
    }
    Entry& entry = entryAt(index.m_slot);
    entry.m_hash = hash;
    entry.m_state = state;
    return entry.m_state;
}

void FlowTable::erase(FlowHash hash)
{
    Shard& shard = shardOf(hash);
    const std::size_t position = positionOf(shard, hash);
    if (shard.m_index[position].m_slot != s_noSlot)
        erasePosition(shard, position);
}

std::size_t FlowTable::positionOf(const Shard& shard, FlowHash hash)
{
    const std::uint32_t fingerprint = fingerprintOf(hash);
    std::size_t position = shard.home(fingerprint);
    while (shard.m_index[position].m_slot != s_noSlot) {
        const IndexEntry index = shard.m_index[position];
        if (index.m_fingerprint == fingerprint && entryAt(index.m_slot).m_hash == hash)
            break;
        position = shard.next(position);
    }
    return position;
}

FlowTable::Entry* FlowTable::candidateOf(FlowHash hash)
{
    const Shard& shard = shardOf(hash);
    const std::uint32_t fingerprint = fingerprintOf(hash);
    std::size_t position = shard.home(fingerprint);
    while (shard.m_index[position].m_slot != s_noSlot) {
        if (shard.m_index[position].m_fingerprint == fingerprint)
            return &entryAt(shard.m_index[position].m_slot);
        position = shard.next(position);
    }
    return nullptr;
}

void FlowTable::resize(Shard& shard, std::size_t indexSize)
{
    const auto former = std::exchange(shard.m_index, {});
    shard.m_index.resize(indexSize);
    shard.m_mask = indexSize - 1;
    for (const IndexEntry index : former) {
        if (index.m_slot == s_noSlot)
            continue;
        std::size_t position = shard.home(index.m_fingerprint);
        while (shard.m_index[position].m_slot != s_noSlot)
            position = shard.next(position);
        shard.m_index[position] = index;
    }
}

std::size_t FlowTable::firstEmpty(const Shard& shard)
{
    const auto found = std::find_if(
        shard.m_index.begin(), shard.m_index.end(), [](const IndexEntry& index) { return index.m_slot == s_noSlot; });
    CR_ASSERT(found != shard.m_index.end(), "an index must have empty positions");
    return static_cast<std::size_t>(found - shard.m_index.begin());
}

void FlowTable::erasePosition(Shard& shard, std::size_t position)
{
    ++m_generation;
    --m_size;
    --shard.m_size;
    const Slot freed = shard.m_index[position].m_slot;
    entryAt(freed).m_hash.m_value = std::exchange(m_freeSlot, freed);

    // Move the following entries back, unless that would put them before their home position.
    std::size_t hole = position;
    for (std::size_t at = shard.next(hole); shard.m_index[at].m_slot != s_noSlot; at = shard.next(at)) {
        const std::size_t fromHome = (at - shard.home(shard.m_index[at].m_fingerprint)) & shard.m_mask;
        const std::size_t fromHole = (at - hole) & shard.m_mask;
        if (fromHome < fromHole)
            continue;
        shard.m_index[hole] = shard.m_index[at];
        hole = at;
    }
    shard.m_index[hole] = {};
}

FlowTable::Slot FlowTable::allocateSlot()
{
    if (m_freeSlot == s_noSlot)
        addBlock();
    const Slot slot = m_freeSlot;
    m_freeSlot = static_cast<Slot>(entryAt(slot).m_hash.m_value);
    return slot;
}

void FlowTable::addBlock()
{
    const Slot first = static_cast<Slot>(m_blocks.size() * s_blockSize);
    m_blocks.push_back(std::make_unique<Block>());
    for (Slot slot = first; slot + 1 < first + s_blockSize; ++slot)
        entryAt(slot).m_hash.m_value = slot + 1;
    entryAt(static_cast<Slot>(first + s_blockSize - 1)).m_hash.m_value = m_freeSlot;
    m_freeSlot = first;
}

void FlowTable::prefetchAhead(const Shard& shard, std::size_t position)
{
    const Slot slot = shard.m_index[(position + c_prefetchDistance) & shard.m_mask].m_slot;
    if (slot != s_noSlot)
        __builtin_prefetch(&entryAt(slot), 1);
}

} // namespace cuminrelay
