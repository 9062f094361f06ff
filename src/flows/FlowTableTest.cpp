#include "flows/FlowTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unordered_map>

namespace cuminrelay {
namespace {

    using NaiveTable = std::unordered_map<std::uint64_t, std::uint32_t>;

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

    FlowState stateOf(std::uint32_t mark)
    {
        FlowState state;
        state.m_sequence = mark;
        return state;
    }

    NaiveTable contentsOf(FlowTable& table)
    {
        NaiveTable contents;
        for (std::size_t shard = 0; shard < FlowTable::s_shardCount; ++shard) {
            table.walk(shard, [&](FlowHash hash, FlowState& state) {
                RC_ASSERT(FlowTable::shardIndex(bucketOf(hash)) == shard);
                RC_ASSERT(contents.emplace(hash.m_value, state.m_sequence).second);
            });
        }
        return contents;
    }

    void putBoth(FlowTable& table, NaiveTable& naive, std::uint32_t mark)
    {
        const FlowHash hash = drawHash();
        RC_ASSERT(table.put(hash, stateOf(mark)).m_sequence == mark);
        naive[hash.m_value] = mark;
    }

    void eraseBoth(FlowTable& table, NaiveTable& naive)
    {
        const FlowHash hash = drawHash();
        table.erase(hash);
        naive.erase(hash.m_value);
    }

    void eraseBothIf(FlowTable& table, NaiveTable& naive, std::uint32_t divisor)
    {
        const auto isOver = [divisor](std::uint32_t mark) { return mark % divisor == 0; };
        std::size_t met = 0;
        const std::size_t held = table.size();
        for (std::size_t shard = 0; shard < FlowTable::s_shardCount; ++shard) {
            table.eraseIf(shard, [&](FlowHash, FlowState& state) {
                ++met;
                return isOver(state.m_sequence);
            });
        }
        RC_ASSERT(met == held);
        std::erase_if(naive, [&](const NaiveTable::value_type& entry) { return isOver(entry.second); });
    }

    void findBoth(FlowTable& table, const NaiveTable& naive)
    {
        std::vector<FlowHash> hashes(*rc::gen::inRange<std::size_t>(0, FlowTable::s_batch + 1));
        for (FlowHash& hash : hashes)
            hash = drawHash();
        std::vector<FlowState*> found(hashes.size());
        table.find(hashes, found);
        for (std::size_t i = 0; i < hashes.size(); ++i) {
            const auto expected = naive.find(hashes[i].m_value);
            RC_ASSERT(found[i] == table.find(hashes[i]));
            RC_ASSERT((found[i] != nullptr) == (expected != naive.end()));
            if (found[i])
                RC_ASSERT(found[i]->m_sequence == expected->second);
        }
    }

    RC_GTEST_PROP(FlowTable, holdsWhatANaiveTableHolds, ())
    {
        FlowTable table;
        NaiveTable naive;
        const std::uint32_t steps = *rc::gen::inRange<std::uint32_t>(1, 400);
        for (std::uint32_t step = 0; step < steps; ++step) {
            switch (*rc::gen::weightedElement<int>({ { 12, 0 }, { 5, 1 }, { 2, 2 }, { 1, 3 } })) {
            case 0:
                putBoth(table, naive, step);
                break;
            case 1:
                eraseBoth(table, naive);
                break;
            case 2:
                findBoth(table, naive);
                break;
            default:
                eraseBothIf(table, naive, *rc::gen::inRange<std::uint32_t>(1, 5));
                break;
            }
            RC_ASSERT(table.size() == naive.size());
        }
        RC_ASSERT(contentsOf(table) == naive);
    }

    TEST(FlowTable, statesStayWhereTheyAreWhileItGrows)
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

    TEST(FlowTable, theGenerationChangesWithEachChange)
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
