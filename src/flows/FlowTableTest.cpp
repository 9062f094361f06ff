#include "flows/FlowTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unordered_map>

namespace cuminrelay {
namespace {

    using ReferenceTable = std::unordered_map<std::uint64_t, std::uint32_t>;

    /// Draws from few fingerprints and shards, so that flows collide in the index.
    FlowHash drawHash()
    {
        const std::uint64_t high = *rc::gen::inRange<std::uint64_t>(0, 3);
        const std::uint64_t middle = *rc::gen::inRange<std::uint64_t>(0, 3);
        const std::uint64_t low = *rc::gen::inRange<std::uint64_t>(0, 40);
        constexpr unsigned highShift = 57;
        constexpr unsigned middleShift = 40;
        // Fingerprints whose home positions are at the end of a small index, so that runs of flows wrap around.
        constexpr std::uint64_t lastHomes = 0xffff'fff0;
        return FlowHash { (high << highShift) | (middle << middleShift) | ((lastHomes + low) & 0xffff'ffff) };
    }

    FlowState stateOf(std::uint32_t value)
    {
        FlowState state;
        state.m_sequence = value;
        return state;
    }

    ReferenceTable contentsOf(FlowTable& table)
    {
        ReferenceTable contents;
        for (std::size_t shard = 0; shard < FlowTable::s_shardCount; ++shard) {
            table.walk(shard, [&](FlowHash hash, FlowState& state) {
                RC_ASSERT(FlowTable::shardIndex(bucketOf(hash)) == shard);
                RC_ASSERT(contents.emplace(hash.m_value, state.m_sequence).second);
            });
        }
        return contents;
    }

    void putBoth(FlowTable& table, ReferenceTable& reference, std::uint32_t value)
    {
        const FlowHash hash = drawHash();
        RC_ASSERT(table.put(hash, stateOf(value)).m_sequence == value);
        reference[hash.m_value] = value;
    }

    void eraseBoth(FlowTable& table, ReferenceTable& reference)
    {
        const FlowHash hash = drawHash();
        table.erase(hash);
        reference.erase(hash.m_value);
    }

    void eraseBothIf(FlowTable& table, ReferenceTable& reference, std::uint32_t divisor)
    {
        const auto mustErase = [divisor](std::uint32_t value) { return value % divisor == 0; };
        std::size_t visited = 0;
        const std::size_t held = table.size();
        for (std::size_t shard = 0; shard < FlowTable::s_shardCount; ++shard) {
            table.eraseIf(shard, [&](FlowHash, FlowState& state) {
                ++visited;
                return mustErase(state.m_sequence);
            });
        }
        RC_ASSERT(visited == held);
        std::erase_if(reference, [&](const ReferenceTable::value_type& entry) { return mustErase(entry.second); });
    }

    void findBoth(FlowTable& table, const ReferenceTable& reference)
    {
        std::vector<FlowHash> hashes(*rc::gen::inRange<std::size_t>(0, FlowTable::s_batch + 1));
        for (FlowHash& hash : hashes)
            hash = drawHash();
        std::vector<FlowState*> found(hashes.size());
        table.find(hashes, found);
        for (std::size_t i = 0; i < hashes.size(); ++i) {
            const auto expected = reference.find(hashes[i].m_value);
            RC_ASSERT(found[i] == table.find(hashes[i]));
            RC_ASSERT((found[i] != nullptr) == (expected != reference.end()));
            if (found[i])
                RC_ASSERT(found[i]->m_sequence == expected->second);
        }
    }

    RC_GTEST_PROP(FlowTable, matchesAReferenceTable, ())
    {
        FlowTable table;
        ReferenceTable reference;
        const std::uint32_t steps = *rc::gen::inRange<std::uint32_t>(1, 400);
        for (std::uint32_t step = 0; step < steps; ++step) {
            switch (*rc::gen::weightedElement<int>({ { 12, 0 }, { 5, 1 }, { 2, 2 }, { 1, 3 } })) {
            case 0:
                putBoth(table, reference, step);
                break;
            case 1:
                eraseBoth(table, reference);
                break;
            case 2:
                findBoth(table, reference);
                break;
            default:
                eraseBothIf(table, reference, *rc::gen::inRange<std::uint32_t>(1, 5));
                break;
            }
            RC_ASSERT(table.size() == reference.size());
        }
        RC_ASSERT(contentsOf(table) == reference);
    }

    TEST(FlowTable, statesDoNotMoveWhenTheTableGrows)
    {
        constexpr std::uint64_t flows = 20'000;
        FlowTable table;
        std::vector<const FlowState*> states;
        for (std::uint64_t flow = 0; flow < flows; ++flow)
            states.push_back(&table.put(hashFlow({ { 1, static_cast<std::uint16_t>(flow) }, { 2, 2 } }),
                stateOf(static_cast<std::uint32_t>(flow))));
        EXPECT_EQ(table.size(), flows);
        for (std::uint64_t flow = 0; flow < flows; ++flow)
            EXPECT_EQ(table.find(hashFlow({ { 1, static_cast<std::uint16_t>(flow) }, { 2, 2 } })), states[flow]);
    }

    TEST(FlowTable, theGenerationChangesWithEachModification)
    {
        FlowTable table;
        const std::uint64_t first = table.generation();
        table.put(FlowHash { 1 }, {});
        const std::uint64_t second = table.generation();
        EXPECT_NE(second, first);
        table.erase(FlowHash { 2 });
        EXPECT_EQ(table.generation(), second);
        table.erase(FlowHash { 1 });
        EXPECT_NE(table.generation(), second);
    }

} // namespace
} // namespace cuminrelay
