#include "control/ReportSpread.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Endpoint c_self { 1, 1 };
    constexpr Endpoint c_prober { 2, 1 };
    constexpr Endpoint c_peer { 3, 1 };
    constexpr Endpoint c_backend { 9, 80 };
    constexpr std::size_t c_limit = 8;

    BackendReport reportOf(BackendHealth health, std::uint16_t busySlots, Endpoint backend = c_backend)
    {
        return BackendReport { backend, health, false, 100, busySlots, 0, c_start };
    }

    TEST(ReportSpread, reportsOfOthersArePassedOnButNotToWhoToldThemOrMeasuredThem)
    {
        ReportSpread spread { c_self };
        spread.pass({ c_prober, reportOf(BackendHealth::Healthy, 1) }, c_peer, c_start);
        constexpr Endpoint stranger { 4, 1 };
        for (const Endpoint peer : { c_peer, c_prober, stranger }) {
            std::uint64_t revision = 0;
            const std::size_t expected = peer == stranger ? 1 : 0;
            EXPECT_EQ(spread.since(revision, peer, ReportSpread::Extent::All, c_limit).size(), expected);
            EXPECT_TRUE(spread.since(revision, peer, ReportSpread::Extent::All, c_limit).empty());
        }
    }

    TEST(ReportSpread, loadIsToldByOneProberAtATimeAndHealthByEachAtOnce)
    {
        ReportSpread spread { c_self };
        std::uint64_t revision = 0;
        spread.offerOwn(reportOf(BackendHealth::Healthy, 0), c_start);
        spread.pass({ c_prober, reportOf(BackendHealth::Healthy, 1) }, c_peer, c_start);
        (void)spread.since(revision, c_peer, ReportSpread::Extent::All, c_limit);
        Instant now = c_start + ReportSpread::s_loadIntervalPerBackend;
        spread.offerOwn(reportOf(BackendHealth::Healthy, 2), now);
        EXPECT_TRUE(spread.since(revision, c_peer, ReportSpread::Extent::All, c_limit).empty());
        spread.offerOwn(reportOf(BackendHealth::Unhealthy, 2), now);
        EXPECT_EQ(spread.since(revision, c_peer, ReportSpread::Extent::All, c_limit).size(), 1U);
    }

    TEST(ReportSpread, anotherProberTakesOverWhenTheOneBeforeFallsSilent)
    {
        ReportSpread spread { c_self };
        std::uint64_t revision = 0;
        spread.offerOwn(reportOf(BackendHealth::Healthy, 0), c_start);
        spread.pass({ c_prober, reportOf(BackendHealth::Healthy, 1) }, c_peer, c_start);
        (void)spread.since(revision, c_peer, ReportSpread::Extent::All, c_limit);
        const Instant late = c_start + 2 * ReportSpread::s_loadIntervalPerBackend + ReportSpread::s_spreading;
        spread.offerOwn(reportOf(BackendHealth::Healthy, 2), late);
        EXPECT_EQ(spread.since(revision, c_peer, ReportSpread::Extent::All, c_limit).size(), 1U);
    }

    TEST(ReportSpread, aHeartbeatIsBoundedButAlwaysHasRoomForHealth)
    {
        ReportSpread spread { c_self };
        for (std::uint32_t backend = 1; backend <= 20; ++backend) {
            spread.pass({ c_prober, reportOf(BackendHealth::Healthy, 0, { backend, 80 }) }, c_peer, c_start);
            spread.pass({ c_prober, reportOf(BackendHealth::Healthy, 1, { backend, 80 }) }, c_peer, c_start);
        }
        spread.pass({ c_prober, reportOf(BackendHealth::Unhealthy, 0, { 1, 80 }) }, c_peer, c_start);
        std::uint64_t revision = 0;
        EXPECT_EQ(spread.since(revision, { 4, 1 }, ReportSpread::Extent::All, c_limit).size(), c_limit + 1);
        revision = 0;
        EXPECT_EQ(spread.since(revision, { 4, 1 }, ReportSpread::Extent::OwnAndHealth, c_limit).size(), 1U);
    }

    TEST(ReportSpread, backendServersThatAreGoneAreForgotten)
    {
        ReportSpread spread { c_self };
        spread.offerOwn(reportOf(BackendHealth::Healthy, 0), c_start);
        spread.retainBackends({});
        std::uint64_t revision = 0;
        EXPECT_TRUE(spread.since(revision, c_peer, ReportSpread::Extent::All, c_limit).empty());
    }

} // namespace
} // namespace cuminrelay
