#include "warmup/WarmupBudget.h"

#include <array>
#include <gtest/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Instant c_start { seconds { 100 } };
    constexpr Endpoint c_self { 0x0a000001, 7720 };
    constexpr WarmupBounds c_bounds { 1.5, 5 };
    constexpr double c_rate = 10; // five VMs open flows, each every 500 ms

    ColdBackend coldBackend(std::uint64_t identity, double rate = c_rate)
    {
        return { identity, rate, true };
    }

    std::vector<ZoneMember> members(std::uint32_t count, Instant heardAt)
    {
        std::vector<ZoneMember> listed;
        for (std::uint32_t i = 0; i < count; ++i)
            listed.push_back({ { 0x0a000002 + i, 7720 }, heardAt });
        return listed;
    }

    /// Number of backend servers of 1,000 at which a VM may open a flow.
    int openAt(const WarmupBudget& budget, Instant now)
    {
        int count = 0;
        for (std::uint64_t identity = 1; identity <= 1'000; ++identity) {
            WarmupPermits permits;
            count += budget.mayOpen(coldBackend(identity), permits, now) ? 1 : 0;
        }
        return count;
    }

    TEST(WarmupBudgetTest, withoutADeclaredRateEveryVmMayOpen)
    {
        const WarmupBudget budget { c_self, c_bounds, c_start };
        WarmupPermits permits;
        const ColdBackend backend { 7, 0, false };
        for (int i = 0; i < 3; ++i) {
            EXPECT_TRUE(budget.mayOpen(backend, permits, c_start));
            budget.recordOpening(backend, permits, c_start);
        }
    }

    // A VM that has just started does not know the others yet, and they do not know it.
    TEST(WarmupBudgetTest, aStartedVmWaits)
    {
        WarmupBudget budget { c_self, c_bounds, c_start };
        budget.updateMembers(members(2, c_start), c_start);
        WarmupPermits permits;
        EXPECT_FALSE(budget.mayOpen(coldBackend(7), permits, c_start + milliseconds { 2'999 }));
        EXPECT_TRUE(budget.mayOpen(coldBackend(7), permits, c_start + seconds { 3 }));
    }

    // A VM that is cut off when it starts would take itself for the only one and use the whole rate.
    TEST(WarmupBudgetTest, aVmThatHasHeardOfNoOtherWaitsForTheMemberTimeout)
    {
        const WarmupBudget budget { c_self, c_bounds, c_start };
        WarmupPermits permits;
        EXPECT_FALSE(budget.mayOpen(coldBackend(7), permits, c_start + milliseconds { 62'999 }));
        EXPECT_TRUE(budget.mayOpen(coldBackend(7), permits, c_start + seconds { 63 }));
    }

    TEST(WarmupBudgetTest, unusedPermitsDoNotAccumulate)
    {
        WarmupBudget budget { c_self, c_bounds, c_start };
        budget.updateMembers(members(4, c_start), c_start);
        WarmupPermits permits;
        Instant now = c_start + seconds { 30 };
        ASSERT_TRUE(budget.mayOpen(coldBackend(7), permits, now));
        budget.recordOpening(coldBackend(7), permits, now);
        EXPECT_FALSE(budget.mayOpen(coldBackend(7), permits, now + milliseconds { 499 }));
        now += milliseconds { 500 };
        EXPECT_TRUE(budget.mayOpen(coldBackend(7), permits, now));
    }

    // In a large zone few VMs share the budget, or the flows that all of them may open in a second exceed it.
    TEST(WarmupBudgetTest, fiveOfEightyVmsOpenAtABackendServer)
    {
        WarmupBudget budget { c_self, c_bounds, c_start };
        budget.updateMembers(members(79, c_start), c_start);
        const int count = openAt(budget, c_start + seconds { 10 });
        EXPECT_GT(count, 40); // 62.5 are expected
        EXPECT_LT(count, 90);
    }

    TEST(WarmupBudgetTest, aVmOfAnotherZoneOpensNothing)
    {
        WarmupBudget budget { c_self, c_bounds, c_start };
        budget.updateMembers(members(2, c_start), c_start);
        WarmupPermits permits;
        EXPECT_FALSE(budget.mayOpen({ 7, c_rate, false }, permits, c_start + seconds { 30 }));
    }

    // A VM that is not heard of may be cut off and go on to open flows for as long as it remembers the others.
    TEST(WarmupBudgetTest, aSilentVmKeepsItsShareUntilTheTakeoverDelayAfterItIsForgotten)
    {
        WarmupBudget budget { c_self, c_bounds, c_start };
        budget.updateMembers(members(79, c_start), c_start);
        const int before = openAt(budget, c_start + seconds { 10 });
        for (Instant now = c_start; now <= c_start + seconds { 62 }; now += seconds { 1 })
            budget.updateMembers(members(3, now), now);
        EXPECT_EQ(budget.members(), 80u);
        EXPECT_EQ(openAt(budget, c_start + seconds { 62 }), before);
        budget.updateMembers(members(3, c_start + seconds { 63 }), c_start + seconds { 63 });
        EXPECT_EQ(budget.members(), 4u);
        EXPECT_EQ(openAt(budget, c_start + seconds { 63 }), 1'000);
    }

    // A VM that is cut off for longer than the member time-out would take itself for the only one and use the whole
    // rate. When it hears of the first other VM again, it would take itself for one of two.
    TEST(WarmupBudgetTest, aCutOffVmKeepsItsShareAndWaitsWhenItHearsOfOthersAgain)
    {
        WarmupBudget budget { c_self, c_bounds, c_start };
        budget.updateMembers(members(79, c_start), c_start);
        const int before = openAt(budget, c_start + seconds { 10 });
        const Instant later = c_start + seconds { 300 };
        budget.updateMembers({}, later);
        EXPECT_EQ(budget.members(), 80u);
        EXPECT_EQ(openAt(budget, later), before);
        budget.updateMembers(members(1, later), later);
        EXPECT_EQ(budget.members(), 2u);
        EXPECT_EQ(openAt(budget, later + milliseconds { 2'999 }), 0);
        budget.updateMembers(members(79, later + milliseconds { 2'900 }), later + milliseconds { 2'900 });
        const int after = openAt(budget, later + seconds { 3 });
        EXPECT_EQ(after, before);
    }

    // A VM whose rank falls because another one was added stops at once.
    TEST(WarmupBudgetTest, anAddedVmDisplacesAnotherAtOnce)
    {
        WarmupBudget budget { c_self, c_bounds, c_start };
        budget.updateMembers(members(4, c_start), c_start);
        EXPECT_EQ(openAt(budget, c_start + seconds { 10 }), 1'000);
        budget.updateMembers(members(9, c_start + seconds { 10 }), c_start + seconds { 10 });
        EXPECT_LT(openAt(budget, c_start + seconds { 10 }), 600); // 500 are expected
    }

    TEST(WarmupBudgetTest, theNumberOfOpenersFollowsTheDeclaredRate)
    {
        WarmupBudget budget { c_self, c_bounds, c_start };
        budget.updateMembers(members(79, c_start), c_start);
        const Instant now = c_start + seconds { 10 };
        for (const auto& [rate, openers] : std::vector<std::pair<double, std::uint32_t>> {
                 { 0.001, 2 }, { 1, 2 }, { 2.5, 3 }, { 10, 5 }, { 40, 12 }, { 1e6, 80 } }) {
            WarmupPermits permits;
            budget.recordOpening(coldBackend(7, rate), permits, now);
            EXPECT_EQ(permits.m_openers, openers) << rate;
            EXPECT_GT(permits.m_nextAt, now) << rate;
        }
        // At the bound of 0.5 x 10 flows a second, one VM opens one every 200 ms.
        WarmupBudget lowered { c_self, { 0.5, 0 }, c_start };
        lowered.updateMembers(members(79, c_start), c_start);
        WarmupPermits loweredPermits;
        lowered.recordOpening(coldBackend(7), loweredPermits, now);
        EXPECT_EQ(loweredPermits.m_openers, 1u);
        EXPECT_EQ(loweredPermits.m_nextAt, now + milliseconds { 200 });
        WarmupBudget none { c_self, { 0, 5 }, c_start };
        none.recordOpening(coldBackend(7), loweredPermits, now);
        EXPECT_GT(loweredPermits.m_nextAt, now + seconds { 60 });
        WarmupBudget strict { c_self, { 1, 0 }, c_start };
        WarmupPermits permits;
        strict.recordOpening(coldBackend(7), permits, now);
        EXPECT_EQ(permits.m_openers, 1u);
    }

} // namespace
} // namespace cuminrelay
