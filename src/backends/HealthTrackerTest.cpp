#include "backends/HealthTracker.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Duration c_interval = std::chrono::seconds { 1 };

    Endpoint backendOf(std::uint32_t number)
    {
        return { number, 80 };
    }

    /// Returns a tracker of backend servers 1 to count, in zone "a" below secondZoneFrom, otherwise in zone "b".
    HealthTracker trackerOf(std::uint32_t count, std::uint32_t secondZoneFrom = 1000)
    {
        std::vector<ProbedBackend> backends;
        for (std::uint32_t number = 1; number <= count; ++number)
            backends.push_back({ backendOf(number), number < secondZoneFrom ? "a" : "b" });
        HealthTracker tracker;
        tracker.assign(backends);
        return tracker;
    }

    Instant noteTimes(HealthTracker& tracker, Endpoint backend, ProbeSignal signal, unsigned times, Instant now)
    {
        for (unsigned i = 0; i < times; ++i, now += c_interval)
            tracker.note(backend, signal, now);
        return now;
    }

    struct Threshold {
        ProbeSignal m_signal;
        unsigned m_probesToGoDown;
    };

    class HealthThreshold : public testing::TestWithParam<Threshold> { };

    TEST_P(HealthThreshold, takesConsecutiveSignalsToGoDown)
    {
        const Threshold& threshold = GetParam();
        HealthTracker tracker = trackerOf(4);
        const Endpoint backend = backendOf(1);
        Instant now = noteTimes(tracker, backend, threshold.m_signal, threshold.m_probesToGoDown - 1, c_start);
        EXPECT_EQ(tracker.health(backend), BackendHealth::Healthy);
        now = noteTimes(tracker, backend, ProbeSignal::Good, 1, now);
        now = noteTimes(tracker, backend, threshold.m_signal, threshold.m_probesToGoDown - 1, now);
        EXPECT_EQ(tracker.health(backend), BackendHealth::Healthy);
        noteTimes(tracker, backend, threshold.m_signal, 1, now);
        EXPECT_EQ(tracker.health(backend), BackendHealth::Unhealthy);
        EXPECT_EQ(tracker.health(backendOf(2)), BackendHealth::Healthy);
    }

    INSTANTIATE_TEST_SUITE_P(EachSignal, HealthThreshold,
        testing::Values(Threshold { ProbeSignal::Slow, 6 }, Threshold { ProbeSignal::ReportedUnhealthy, 2 },
            Threshold { ProbeSignal::NoAnswer, 3 }));

    TEST(HealthTracker, differentSignalsAddUp)
    {
        HealthTracker tracker = trackerOf(4);
        tracker.note(backendOf(1), ProbeSignal::Slow, c_start);
        tracker.note(backendOf(1), ProbeSignal::NoAnswer, c_start + c_interval);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Healthy);
        tracker.note(backendOf(1), ProbeSignal::ReportedUnhealthy, c_start + 2 * c_interval);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, comingUpTakesTwoGoodProbesAndTheDeadline)
    {
        HealthTracker tracker = trackerOf(4);
        const Endpoint backend = backendOf(1);
        const Instant down = noteTimes(tracker, backend, ProbeSignal::NoAnswer, 3, c_start) - c_interval;
        const Duration soon = std::chrono::milliseconds { 100 };
        tracker.note(backend, ProbeSignal::Good, down + soon);
        tracker.note(backend, ProbeSignal::Good, down + 2 * soon);
        EXPECT_EQ(tracker.health(backend), BackendHealth::Unhealthy);
        tracker.note(backend, ProbeSignal::Good, down + std::chrono::seconds { 2 });
        EXPECT_EQ(tracker.health(backend), BackendHealth::Healthy);
    }

    TEST(HealthTracker, aFlappingBackendServerStaysDownLongerEachTime)
    {
        HealthTracker tracker = trackerOf(4);
        const Endpoint backend = backendOf(1);
        Instant now = c_start;
        std::vector<Duration> downFor;
        for (unsigned flap = 0; flap < 3; ++flap) {
            now = noteTimes(tracker, backend, ProbeSignal::NoAnswer, 3, now);
            const Instant down = now - c_interval;
            while (tracker.health(backend) != BackendHealth::Healthy)
                now = noteTimes(tracker, backend, ProbeSignal::Good, 1, now);
            downFor.push_back(now - c_interval - down);
        }
        EXPECT_LT(downFor[0], downFor[1]);
        EXPECT_LT(downFor[1], downFor[2]);
    }

    TEST(HealthTracker, moreThanHalfOfAZoneAtOnceIsACut)
    {
        HealthTracker tracker = trackerOf(9, 6);
        for (std::uint32_t number = 1; number <= 3; ++number)
            noteTimes(tracker, backendOf(number), ProbeSignal::NoAnswer, 3, c_start);
        for (std::uint32_t number = 1; number <= 3; ++number)
            EXPECT_EQ(tracker.health(backendOf(number)), BackendHealth::BeyondCut);
        noteTimes(tracker, backendOf(7), ProbeSignal::NoAnswer, 3, c_start);
        EXPECT_EQ(tracker.health(backendOf(7)), BackendHealth::Unhealthy);
        noteTimes(tracker, backendOf(3), ProbeSignal::Good, 5, c_start + 5 * c_interval);
        EXPECT_EQ(tracker.health(backendOf(3)), BackendHealth::Healthy);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, halfOfAZoneIsNoCut)
    {
        HealthTracker tracker = trackerOf(4);
        noteTimes(tracker, backendOf(1), ProbeSignal::NoAnswer, 3, c_start);
        noteTimes(tracker, backendOf(2), ProbeSignal::NoAnswer, 3, c_start);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, failuresFarApartAreTheBackendServersOwn)
    {
        HealthTracker tracker = trackerOf(3);
        Instant now = c_start;
        for (std::uint32_t number = 1; number <= 2; ++number, now += std::chrono::seconds { 20 })
            noteTimes(tracker, backendOf(number), ProbeSignal::NoAnswer, 3, now);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Unhealthy);
        EXPECT_EQ(tracker.health(backendOf(2)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, everythingThatIsProbedAtOnceIsACutAlsoInSmallZones)
    {
        HealthTracker tracker = trackerOf(2, 2);
        noteTimes(tracker, backendOf(1), ProbeSignal::NoAnswer, 3, c_start);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Unhealthy);
        noteTimes(tracker, backendOf(2), ProbeSignal::NoAnswer, 3, c_start);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::BeyondCut);
        EXPECT_EQ(tracker.health(backendOf(2)), BackendHealth::BeyondCut);
    }

    TEST(HealthTracker, backendServersThatSayThemselvesThatTheyAreUnhealthyAreNoCut)
    {
        HealthTracker tracker = trackerOf(4);
        for (std::uint32_t number = 1; number <= 4; ++number)
            noteTimes(tracker, backendOf(number), ProbeSignal::ReportedUnhealthy, 3, c_start);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Unhealthy);
    }

    TEST(HealthTracker, assigningKeepsWhatIsKnownAndForgetsTheRest)
    {
        HealthTracker tracker = trackerOf(4);
        noteTimes(tracker, backendOf(1), ProbeSignal::NoAnswer, 3, c_start);
        tracker.assign(std::vector<ProbedBackend> { { backendOf(1), "a" }, { backendOf(9), "a" } });
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Unhealthy);
        tracker.assign({});
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Healthy);
        tracker.note(backendOf(1), ProbeSignal::NoAnswer, c_start);
        EXPECT_EQ(tracker.health(backendOf(1)), BackendHealth::Healthy);
    }

    TEST(ProbersOf, aZoneWithoutEntryVmsIsProbedFromOtherZones)
    {
        const std::vector<ProberCandidate> candidates { { { 1, 1 }, "a" }, { { 2, 1 }, "a" }, { { 3, 1 }, "b" } };
        EXPECT_EQ(probersOf(backendOf(1), "b", candidates), std::vector<Endpoint> { (Endpoint { 3, 1 }) });
        EXPECT_EQ(probersOf(backendOf(1), "c", candidates).size(), 2U);
        EXPECT_TRUE(probersOf(backendOf(1), "c", {}).empty());
    }

    RC_GTEST_PROP(ProbersOf, aProberThatGoesMovesOnlyItsOwnBackendServers, (std::uint32_t backend))
    {
        std::vector<ProberCandidate> candidates;
        for (std::uint32_t number = 1; number <= 6; ++number)
            candidates.push_back({ { number, 1 }, number <= 4 ? "a" : "b" });
        const std::vector<Endpoint> before = probersOf(backendOf(backend), "a", candidates);
        RC_ASSERT(before.size() == 2U);
        const std::size_t gone = *rc::gen::inRange<std::size_t>(0, candidates.size());
        const Endpoint goneEntry = candidates[gone].m_entry;
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(gone));
        const std::vector<Endpoint> after = probersOf(backendOf(backend), "a", candidates);
        for (const Endpoint prober : before)
            RC_ASSERT(prober == goneEntry || std::ranges::find(after, prober) != after.end());
    }

} // namespace
} // namespace cuminrelay
