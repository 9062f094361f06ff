#include "exchange/StoreFollowersTest.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <span>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;
    using StorePath = StoreFollowers::StorePath;
    using Connection = StoreFollowers::Connection;

    constexpr Duration c_startTime = seconds { 6 };

    std::vector<std::size_t> generateZones()
    {
        std::vector<std::size_t> zones(*rc::gen::inRange<std::size_t>(1, 4));
        for (std::size_t& vms : zones)
            vms = *rc::gen::inRange<std::size_t>(1, 7);
        return zones;
    }

    /// Begins or ends a fault of a VM.
    void disturbAny(StoreFollowers& fleet)
    {
        const std::size_t index = *rc::gen::inRange<std::size_t>(0, fleet.m_vms.size());
        StoreFollowers::Vm& vm = *fleet.m_vms[index];
        fleet.disturb(index);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            vm.m_storePath = *rc::gen::element(StorePath::Works, StorePath::Silent, StorePath::Refused);
            break;
        case 1:
            vm.m_isFrozen = !vm.m_isFrozen;
            break;
        case 2:
            vm.m_canFetch = !vm.m_canFetch;
            break;
        case 3:
            if (vm.m_isRunning)
                fleet.kill(index);
            else
                fleet.restart(index);
            break;
        case 4:
            if (vm.m_isRunning)
                fleet.leave(index);
            break;
        default:
            fleet.silenceConnections(StoreFollowers::s_allConnections);
        }
    }

    bool includes(const StoreVersions& left, const StoreVersions& right)
    {
        return left.m_backends >= right.m_backends && left.m_declarations >= right.m_declarations;
    }

    // A VM resets and refuses by its state only as of the time for which that is confirmed. If it took a stale state
    // for the store's, it would reset flows that other VMs opened since (review/5).
    RC_GTEST_PROP(StoreFollowingTest, aConfirmedStateIncludesAllChangesUpToItsTime, ())
    {
        StoreFollowers fleet { generateZones(), *rc::gen::arbitrary<std::uint32_t>(), 0.02 };
        fleet.run(seconds { 2 });
        for (int event = *rc::gen::inRange(5, 40); event > 0; --event) {
            if (*rc::gen::inRange(0, 3) == 0)
                disturbAny(fleet);
            else
                fleet.change(*rc::gen::inRange<std::size_t>(0, StoreFollowers::s_kinds));
            for (int i = *rc::gen::inRange(1, 100); i > 0; --i) {
                fleet.run(milliseconds { 10 });
                for (const std::unique_ptr<StoreFollowers::Vm>& vm : fleet.m_vms)
                    RC_ASSERT(includes(vm->m_versions, fleet.versionsAt(vm->m_confirmedAt)));
            }
        }
    }

    /// From the acceptance of a change until it is in force (DrainMs, ConfigApplyMs).
    constexpr Duration c_timeLimit = milliseconds { 3'000 };

    /// Whether the VMs that have been undisturbed for a while have the changes that the store accepted in time.
    bool areChangesInForce(const StoreFollowers& fleet)
    {
        const StoreVersions due = fleet.versionsAt(fleet.m_now - c_timeLimit);
        return std::ranges::all_of(
            fleet.m_vms, [&](const auto& vm) { return !vm->isInTouch(fleet.m_now) || includes(vm->m_versions, due); });
    }

    /// Lets time pass, during which the given VMs are disturbed.
    void runDisturbed(StoreFollowers& fleet, std::span<const std::size_t> disturbed, Duration duration)
    {
        for (const Instant end = fleet.m_now + duration; fleet.m_now < end;) {
            for (const std::size_t vm : disturbed)
                fleet.disturb(vm);
            fleet.run(milliseconds { 10 });
            RC_ASSERT(areChangesInForce(fleet));
        }
    }

    /// The store comes back from a copy, at times twice in a row.
    void restoreAny(StoreFollowers& fleet)
    {
        for (int restores = *rc::gen::element(1, 1, 2); restores > 0; --restores) {
            fleet.restoreStore(milliseconds { *rc::gen::inRange(0, 5'000) }, *rc::gen::arbitrary<bool>());
            if (restores > 1)
                fleet.run(milliseconds { *rc::gen::inRange(0, 1'500) });
        }
    }

    // The state of an earlier era has higher revisions than the restored store. A VM that took it for the store's would
    // reset and refuse by it.
    RC_GTEST_PROP(StoreFollowingTest, aConfirmedStateIsOfTheEraThatTheStoreHadThen, ())
    {
        StoreFollowers fleet { generateZones(), *rc::gen::arbitrary<std::uint32_t>(), 0.02 };
        fleet.run(seconds { 2 });
        for (int event = *rc::gen::inRange(5, 40); event > 0; --event) {
            const int kind = *rc::gen::inRange(0, 5);
            if (kind == 0)
                disturbAny(fleet);
            else if (kind == 1)
                restoreAny(fleet);
            else
                fleet.change(*rc::gen::inRange<std::size_t>(0, StoreFollowers::s_kinds));
            for (int i = *rc::gen::inRange(1, 100); i > 0; --i) {
                fleet.run(milliseconds { 10 });
                for (const std::unique_ptr<StoreFollowers::Vm>& vm : fleet.m_vms) {
                    const StoreVersions stored = fleet.versionsAt(vm->m_confirmedAt);
                    RC_ASSERT(includes(vm->m_versions, stored));
                    RC_ASSERT(vm->m_versions.m_backends.m_era >= stored.m_backends.m_era);
                }
            }
        }
    }

    // A reader that is cut off keeps the earlier era, whose revisions are higher, and goes on sending its messages.
    RC_GTEST_PROP(StoreFollowingTest, aRestoreIsKnownInTimeWhileReadersArePartitionedFromTheStore, ())
    {
        StoreFollowers fleet { generateZones(), *rc::gen::arbitrary<std::uint32_t>(), 0.02 };
        fleet.run(c_startTime);
        for (int changes = *rc::gen::inRange(0, 6); changes > 0; --changes) {
            fleet.change(*rc::gen::inRange<std::size_t>(0, StoreFollowers::s_kinds));
            fleet.run(milliseconds { *rc::gen::inRange(0, 1'000) });
        }
        std::vector<std::size_t> partitioned;
        for (std::uint32_t zone = 0; zone < 3; ++zone) {
            const std::optional<std::size_t> reader = fleet.readerOf({ zone });
            if (reader && *rc::gen::arbitrary<bool>())
                partitioned.push_back(*reader);
        }
        const StorePath path = *rc::gen::element(StorePath::Silent, StorePath::Refused);
        for (const std::size_t vm : partitioned)
            fleet.m_vms[vm]->m_storePath = path;
        runDisturbed(fleet, partitioned, milliseconds { *rc::gen::inRange(0, 2'500) });
        restoreAny(fleet);
        runDisturbed(fleet, partitioned, milliseconds { *rc::gen::inRange(0, 1'500) });
        fleet.change(*rc::gen::inRange<std::size_t>(0, StoreFollowers::s_kinds));
        runDisturbed(fleet, partitioned, milliseconds { 3'500 });
        const StoreVersions stored = fleet.versionsAt(fleet.m_now);
        for (const std::unique_ptr<StoreFollowers::Vm>& vm : fleet.m_vms)
            RC_ASSERT(vm->m_versions.m_backends.m_era == stored.m_backends.m_era || !vm->isInTouch(fleet.m_now));
    }

    // A reader that is partitioned from the store says that it follows the store until its watch times out (review/3).
    // The phase of its watch, and the time from the partition to the change, decide how long the others wait.
    RC_GTEST_PROP(StoreFollowingTest, aChangeIsInForceInTimeWhileReadersArePartitionedFromTheStore, ())
    {
        StoreFollowers fleet { generateZones(), *rc::gen::arbitrary<std::uint32_t>(), 0.02 };
        fleet.run(c_startTime);
        fleet.run(milliseconds { *rc::gen::inRange(0, 2'000) });
        std::vector<std::size_t> partitioned;
        for (std::uint32_t zone = 0; zone < 3; ++zone) {
            const std::optional<std::size_t> reader = fleet.readerOf({ zone });
            if (reader && (zone == 0 || *rc::gen::arbitrary<bool>()))
                partitioned.push_back(*reader);
        }
        if (*rc::gen::arbitrary<bool>())
            partitioned.push_back(*rc::gen::inRange<std::size_t>(0, fleet.m_vms.size()));
        const StorePath path = *rc::gen::element(StorePath::Silent, StorePath::Refused);
        for (const std::size_t vm : partitioned)
            fleet.m_vms[vm]->m_storePath = path;
        runDisturbed(fleet, partitioned, milliseconds { *rc::gen::inRange(0, 2'500) });
        for (int changes = *rc::gen::inRange(1, 5); changes > 0; --changes) {
            fleet.change(*rc::gen::inRange<std::size_t>(0, StoreFollowers::s_kinds));
            runDisturbed(fleet, partitioned, milliseconds { *rc::gen::inRange(0, 1'500) });
        }
        runDisturbed(fleet, partitioned, milliseconds { 3'500 });
    }

    /// Runs without new disturbances. Returns whether changes were in force in time all the while.
    bool runInTime(StoreFollowers& fleet, Duration duration)
    {
        bool inTime = true;
        for (const Instant end = fleet.m_now + duration; inTime && fleet.m_now < end;) {
            fleet.run(milliseconds { 10 });
            inTime = areChangesInForce(fleet);
        }
        return inTime;
    }

    // The reader's watch went silent, and then the fetch of another VM, which waited for both in turn (review/4). Each
    // kind of kept connection goes silent alone and with others, in each phase of the reader's watches.
    TEST(StoreFollowingTest, aChangeIsInForceInTimeInEachPhaseOfSilentConnections)
    {
        constexpr unsigned subsets = 1U << StoreFollowers::s_allConnections.size();
        for (const std::vector<std::size_t>& zones :
            std::vector<std::vector<std::size_t>> { { 2 }, { 1, 1 }, { 2, 1 }, { 3, 3, 2 } }) {
            for (unsigned subset = 1; subset < subsets; ++subset) {
                std::vector<Connection> silent;
                for (std::size_t i = 0; i < StoreFollowers::s_allConnections.size(); ++i) {
                    if (subset & (1U << i))
                        silent.push_back(StoreFollowers::s_allConnections[i]);
                }
                for (milliseconds phase { 0 }; phase < milliseconds { 1'500 }; phase += milliseconds { 50 }) {
                    StoreFollowers fleet { zones, subset };
                    fleet.run(c_startTime + phase);
                    // The VMs that fetch the first change keep the connection.
                    fleet.change(0);
                    fleet.run(milliseconds { 200 });
                    fleet.change(0);
                    fleet.change(1);
                    fleet.run(milliseconds { 100 });
                    fleet.silenceConnections(silent);
                    bool inTime = runInTime(fleet, milliseconds { 900 });
                    fleet.change(1);
                    inTime = inTime && runInTime(fleet, milliseconds { 1'200 });
                    fleet.change(0);
                    inTime = inTime && runInTime(fleet, milliseconds { 3'500 });
                    ASSERT_TRUE(inTime) << zones.size() << " zones, connections " << subset << ", phase "
                                        << phase.count() << " ms";
                }
            }
        }
    }

    // A connection may go silent again just after it was replaced, and only some of them.
    RC_GTEST_PROP(StoreFollowingTest, aChangeIsInForceInTimeWhileConnectionsGoSilentAgain, ())
    {
        StoreFollowers fleet { generateZones(), *rc::gen::arbitrary<std::uint32_t>(), 0.02 };
        fleet.run(c_startTime + milliseconds { *rc::gen::inRange(0, 1'500) });
        for (int round = 0; round < 4; ++round) {
            fleet.change(0);
            RC_ASSERT(runInTime(fleet, milliseconds { *rc::gen::inRange(0, 400) }));
            fleet.change(*rc::gen::inRange<std::size_t>(0, StoreFollowers::s_kinds));
            for (int silences = *rc::gen::inRange(1, 4); silences > 0; --silences) {
                fleet.silenceConnections(StoreFollowers::s_allConnections, *rc::gen::element(0.3, 0.6, 1.0));
                RC_ASSERT(runInTime(fleet, milliseconds { *rc::gen::inRange(0, 2'500) }));
                fleet.change(*rc::gen::inRange<std::size_t>(0, StoreFollowers::s_kinds));
            }
            RC_ASSERT(runInTime(fleet, StoreFollowers::s_stableWindow));
        }
    }

    RC_GTEST_PROP(StoreFollowingTest, aChangeIsInForceInTimeWhileVmsComeAndGo, ())
    {
        StoreFollowers fleet { generateZones(), *rc::gen::arbitrary<std::uint32_t>(), 0.02 };
        fleet.run(c_startTime);
        std::vector<std::size_t> disturbed;
        for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
            const std::size_t index = *rc::gen::inRange<std::size_t>(0, fleet.m_vms.size());
            StoreFollowers::Vm& vm = *fleet.m_vms[index];
            const int fault = *rc::gen::inRange(0, 4);
            if (fault == 0 && vm.m_isRunning)
                fleet.kill(index);
            else if (fault == 1 && vm.m_isRunning)
                fleet.leave(index);
            else if (fault == 2)
                vm.m_isFrozen = true;
            else
                vm.m_canFetch = false; // stays in touch: it reaches the store
            if (fault != 3)
                disturbed.push_back(index);
            runDisturbed(fleet, disturbed, milliseconds { *rc::gen::inRange(0, 500) });
        }
        for (int changes = *rc::gen::inRange(1, 5); changes > 0; --changes) {
            fleet.change(*rc::gen::inRange<std::size_t>(0, StoreFollowers::s_kinds));
            runDisturbed(fleet, disturbed, milliseconds { *rc::gen::inRange(0, 1'500) });
        }
        runDisturbed(fleet, disturbed, milliseconds { 3'500 });
    }

    // A VM that receives messages, but cannot connect to their senders, knows of each change and gets none. In a large
    // zone it is far down in rank.
    TEST(StoreFollowingTest, aVmThatReachesOnlyTheStoreHasChangesInTime)
    {
        StoreFollowers fleet { { 24, 24 }, 3 };
        fleet.run(c_startTime);
        for (std::size_t vm = 0; vm < 24; ++vm) {
            if (fleet.readerOf({ 0 }) == vm)
                continue;
            fleet.m_vms[vm]->m_canFetch = false;
            fleet.change(vm % StoreFollowers::s_kinds);
            fleet.run(c_timeLimit);
            ASSERT_EQ(fleet.m_vms[vm]->m_versions, fleet.versionsAt(fleet.m_now)) << "VM " << vm;
            fleet.m_vms[vm]->m_canFetch = true;
        }
    }

    // The VMs of a large zone hear of a reader only every two seconds, and of each other all the time.
    TEST(StoreFollowingTest, inALargeFleetOneVmOfEachZoneCallsTheStore)
    {
        for (const std::size_t vms : { 2, 8, 24, 65 }) {
            StoreFollowers fleet { { vms, vms, vms }, 7 };
            fleet.run(c_startTime);
            std::uint64_t before = 0;
            for (const std::unique_ptr<StoreFollowers::Vm>& vm : fleet.m_vms)
                before += vm->m_calls;
            fleet.run(seconds { 10 });
            std::uint64_t calls = 0;
            for (const std::unique_ptr<StoreFollowers::Vm>& vm : fleet.m_vms)
                calls += vm->m_calls;
            // Two watches in each zone, one call a second each.
            EXPECT_LE(calls - before, 3u * 2 * 11) << vms << " VMs in each zone";
        }
    }

    // The property above holds for a fleet that never confirms anything; this one does, and resets are not held up.
    TEST(StoreFollowingTest, inAnUndisturbedFleetStatesAreConfirmed)
    {
        for (const std::vector<std::size_t>& zones :
            std::vector<std::vector<std::size_t>> { { 1 }, { 4, 1 }, { 3, 3, 2 }, { 40, 40 } }) {
            StoreFollowers fleet { zones, 1 };
            fleet.run(c_startTime);
            for (int i = 0; i < 400; ++i) {
                if (i % 100 == 50)
                    fleet.change(0);
                fleet.run(milliseconds { 10 });
                for (const std::unique_ptr<StoreFollowers::Vm>& vm : fleet.m_vms)
                    ASSERT_LE(fleet.m_now - vm->m_confirmedAt, milliseconds { 3'500 });
            }
        }
    }

} // namespace
} // namespace cuminrelay
