#include "backends/HealthTracker.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Duration c_interval = std::chrono::seconds { 1 };

    Endpoint makeBackend(std::uint32_t number)
    {
        return { number, 80 };
    }

    /// Returns a tracker of backend servers 1 to count, in zone "a" below secondZoneFrom, otherwise in zone "b".
    HealthTracker makeTracker(std::uint32_t count, std::uint32_t secondZoneFrom = 1000)
    {
        std::vector<ProbedBackend> backends;
        for (std::uint32_t number = 1; number <= count; ++number)
            backends.push_back({ makeBackend(number), number < secondZoneFrom ? "a" : "b" });
        HealthTracker tracker;
        tracker.assign(backends);
        return tracker;
    }

    Instant recordRepeatedly(HealthTracker& tracker, Endpoint backend, ProbeSignal signal, unsigned times, Instant now)
    {
        for (unsigned i = 0; i < times; ++i, now += c_interval)
            tracker.record(backend, signal, now);
        return now;
    }

    struct Threshold {
        ProbeSignal m_signal;
        unsigned m_probesUntilDown;
    };

    class HealthThreshold : public testing::TestWithParam<Threshold> { };

    TEST_P(HealthThreshold, takesConsecutiveSignalsToGoDown)
    {
        const Threshold& threshold = GetParam();
        HealthTracker tracker = makeTracker(4);
        const Endpoint backend = makeBackend(1);
        Instant now = recordRepeatedly(tracker, backend, threshold.m_signal, threshold.m_probesUntilDown - 1, c_start);
        EXPECT_EQ(tracker.health(backend), BackendHealth::Healthy);
        now = recordRepeatedly(tracker, backend, ProbeSignal::Good, 1, now);
        now = recordRepeatedly(tracker, backend, threshold.m_signal, threshold.m_probesUntilDown - 1, now);
        EXPECT_EQ(tracker.health(backend), BackendHealth::Healthy);
        recordRepeatedly(tracker, backend, threshold.m_signal, 1, now);
        EXPECT_EQ(tracker.health(backend), BackendHealth::Unhealthy);
        EXPECT_EQ(tracker.health(makeBackend(2)), BackendHealth::Healthy);
    }

    INSTANTIATE_TEST_SUITE_P(EachSignal, HealthThreshold,
        testing::Values(Threshold { ProbeSignal::Slow, 6 }, Threshold { ProbeSignal::ReportedUnhealthy, 2 },
            Threshold { ProbeSignal::NoAnswer, 3 }));

    TEST(HealthTracker, differentSignalsAddUp)
    {
        HealthTracker tracker = makeTracker(4);
        tracker.record(makeBackend(1), ProbeSignal::Slow, c_start);
        tracker.record(makeBackend(1), ProbeSignal::NoAnswer, c_start + c_interval);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Healthy);
        tracker.record(makeBackend(1), ProbeSignal::ReportedUnhealthy, c_start + 2 * c_interval);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, recoveryTakesTwoGoodProbesAndTheMinimumDownTime)
    {
        HealthTracker tracker = makeTracker(4);
        const Endpoint backend = makeBackend(1);
        const Instant down = recordRepeatedly(tracker, backend, ProbeSignal::NoAnswer, 3, c_start) - c_interval;
        const Duration soon = std::chrono::milliseconds { 100 };
        tracker.record(backend, ProbeSignal::Good, down + soon);
        tracker.record(backend, ProbeSignal::Good, down + 2 * soon);
        EXPECT_EQ(tracker.health(backend), BackendHealth::Unhealthy);
        tracker.record(backend, ProbeSignal::Good, down + std::chrono::seconds { 2 });
        EXPECT_EQ(tracker.health(backend), BackendHealth::Healthy);
    }

    TEST(HealthTracker, aFlappingBackendServerStaysDownLongerEachTime)
    {
        HealthTracker tracker = makeTracker(4);
        const Endpoint backend = makeBackend(1);
        Instant now = c_start;
        std::vector<Duration> downFor;
        for (unsigned flap = 0; flap < 3; ++flap) {
            now = recordRepeatedly(tracker, backend, ProbeSignal::NoAnswer, 3, now);
            const Instant down = now - c_interval;
            while (tracker.health(backend) != BackendHealth::Healthy)
                now = recordRepeatedly(tracker, backend, ProbeSignal::Good, 1, now);
            downFor.push_back(now - c_interval - down);
        }
        EXPECT_LT(downFor[0], downFor[1]);
        EXPECT_LT(downFor[1], downFor[2]);
    }

    TEST(HealthTracker, moreThanHalfOfAZoneAtOnceIsAPartition)
    {
        HealthTracker tracker = makeTracker(9, 6);
        for (std::uint32_t number = 1; number <= 3; ++number)
            recordRepeatedly(tracker, makeBackend(number), ProbeSignal::NoAnswer, 3, c_start);
        for (std::uint32_t number = 1; number <= 3; ++number)
            EXPECT_EQ(tracker.health(makeBackend(number)), BackendHealth::Partitioned);
        recordRepeatedly(tracker, makeBackend(7), ProbeSignal::NoAnswer, 3, c_start);
        EXPECT_EQ(tracker.health(makeBackend(7)), BackendHealth::Unhealthy);
        recordRepeatedly(tracker, makeBackend(3), ProbeSignal::Good, 5, c_start + 5 * c_interval);
        EXPECT_EQ(tracker.health(makeBackend(3)), BackendHealth::Healthy);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, halfOfAZoneIsNoPartition)
    {
        HealthTracker tracker = makeTracker(4);
        recordRepeatedly(tracker, makeBackend(1), ProbeSignal::NoAnswer, 3, c_start);
        recordRepeatedly(tracker, makeBackend(2), ProbeSignal::NoAnswer, 3, c_start);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, failuresFarApartAreNoPartition)
    {
        HealthTracker tracker = makeTracker(3);
        Instant now = c_start;
        for (std::uint32_t number = 1; number <= 2; ++number, now += std::chrono::seconds { 20 })
            recordRepeatedly(tracker, makeBackend(number), ProbeSignal::NoAnswer, 3, now);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Unhealthy);
        EXPECT_EQ(tracker.health(makeBackend(2)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, allProbedBackendServersAtOnceArePartitionedAlsoInSmallZones)
    {
        HealthTracker tracker = makeTracker(2, 2);
        recordRepeatedly(tracker, makeBackend(1), ProbeSignal::NoAnswer, 3, c_start);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Unhealthy);
        recordRepeatedly(tracker, makeBackend(2), ProbeSignal::NoAnswer, 3, c_start);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Partitioned);
        EXPECT_EQ(tracker.health(makeBackend(2)), BackendHealth::Partitioned);
    }

    TEST(HealthTracker, reportedUnhealthyBackendServersAreNoPartition)
    {
        HealthTracker tracker = makeTracker(4);
        for (std::uint32_t number = 1; number <= 4; ++number)
            recordRepeatedly(tracker, makeBackend(number), ProbeSignal::ReportedUnhealthy, 3, c_start);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, assigningKeepsAssignedBackendServersAndRemovesTheRest)
    {
        HealthTracker tracker = makeTracker(4);
        recordRepeatedly(tracker, makeBackend(1), ProbeSignal::NoAnswer, 3, c_start);
        tracker.assign(std::vector<ProbedBackend> { { makeBackend(1), "a" }, { makeBackend(9), "a" } });
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Unhealthy);
        tracker.assign({});
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Healthy);
        tracker.record(makeBackend(1), ProbeSignal::NoAnswer, c_start);
        EXPECT_EQ(tracker.health(makeBackend(1)), BackendHealth::Healthy);
    }

    TEST(ProbersOf, aZoneWithoutEntryVmsIsProbedFromOtherZones)
    {
        const std::vector<ProberCandidate> candidates { { { 1, 1 }, "a" }, { { 2, 1 }, "a" }, { { 3, 1 }, "b" } };
        EXPECT_EQ(probersOf(makeBackend(1), "b", candidates), std::vector<Endpoint> { (Endpoint { 3, 1 }) });
        EXPECT_EQ(probersOf(makeBackend(1), "c", candidates).size(), 2U);
        EXPECT_TRUE(probersOf(makeBackend(1), "c", {}).empty());
    }

    RC_GTEST_PROP(ProbersOf, aRemovedProberMovesOnlyItsOwnBackendServers, (std::uint32_t backend))
    {
        std::vector<ProberCandidate> candidates;
        for (std::uint32_t number = 1; number <= 6; ++number)
            candidates.push_back({ { number, 1 }, number <= 4 ? "a" : "b" });
        const std::vector<Endpoint> before = probersOf(makeBackend(backend), "a", candidates);
        RC_ASSERT(before.size() == 2U);
        const std::size_t gone = *rc::gen::inRange<std::size_t>(0, candidates.size());
        const Endpoint goneEntry = candidates[gone].m_entry;
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(gone));
        const std::vector<Endpoint> after = probersOf(makeBackend(backend), "a", candidates);
        for (const Endpoint prober : before)
            RC_ASSERT(prober == goneEntry || std::ranges::find(after, prober) != after.end());
    }

} // namespace
} // namespace cuminrelay
