#include "exchange/StoreFollowersTest.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;
    using StorePath = StoreFollowers::StorePath;

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
            fleet.silenceConnections();
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
