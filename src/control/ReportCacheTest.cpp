#include "control/ReportCache.h"

#include <array>
#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 1000 } };
    constexpr Endpoint c_self { 1, 1 };
    constexpr Endpoint c_peer { 2, 1 };
    constexpr Endpoint c_backend { 9, 80 };

    BackendReport reportAt(Instant measuredAt, BackendHealth health, std::uint32_t connections = 100)
    {
        return BackendReport { c_backend, health, false, connections, 1, 0, measuredAt };
    }

    TEST(ReportCache, aBackendServerThatAnyProberReachesIsHealthy)
    {
        ReportCache reportCache { c_self };
        reportCache.apply(c_self, reportAt(c_start, BackendHealth::Healthy, 40), c_start);
        reportCache.apply(c_peer, reportAt(c_start + Duration { 1 }, BackendHealth::Unhealthy, 0), c_start);
        ASSERT_EQ(reportCache.all(c_start).size(), 1U);
        EXPECT_EQ(reportCache.all(c_start)[0].m_health, BackendHealth::Healthy);
        EXPECT_EQ(reportCache.all(c_start)[0].m_connections, 40U);
        reportCache.apply(c_self, reportAt(c_start + Duration { 2 }, BackendHealth::Partitioned), c_start);
        EXPECT_EQ(reportCache.all(c_start)[0].m_health, BackendHealth::Partitioned);
        reportCache.apply(c_self, reportAt(c_start + Duration { 3 }, BackendHealth::Unhealthy), c_start);
        EXPECT_EQ(reportCache.all(c_start)[0].m_health, BackendHealth::Unhealthy);
    }

    TEST(ReportCache, anOlderReportOfTheSameProberIsIgnored)
    {
        ReportCache reportCache { c_self };
        reportCache.apply(c_peer, reportAt(c_start, BackendHealth::Unhealthy), c_start);
        reportCache.apply(c_peer, reportAt(c_start - Duration { 1 }, BackendHealth::Healthy), c_start);
        EXPECT_EQ(reportCache.all(c_start)[0].m_health, BackendHealth::Unhealthy);
    }

    TEST(ReportCache, reportsOfRemovedProbersAndExpiredReportsAreIgnored)
    {
        ReportCache reportCache { c_self };
        reportCache.apply(c_self, reportAt(c_start, BackendHealth::Unhealthy), c_start);
        reportCache.apply(c_peer, reportAt(c_start, BackendHealth::Healthy), c_start);
        (void)reportCache.takeChanged(c_start);
        reportCache.retainProbers({});
        ASSERT_EQ(reportCache.takeChanged(c_start).size(), 1U);
        EXPECT_EQ(reportCache.all(c_start)[0].m_health, BackendHealth::Unhealthy);
        EXPECT_TRUE(reportCache.all(c_start + ReportCache::s_expiry).empty());
    }

    TEST(ReportCache, reportsOfAnUnreachableProberCountAgainOnceItIsReachable)
    {
        ReportCache reportCache { c_self };
        reportCache.apply(c_self, reportAt(c_start, BackendHealth::Unhealthy), c_start);
        reportCache.apply(c_peer, reportAt(c_start, BackendHealth::Healthy), c_start);
        (void)reportCache.takeChanged(c_start);
        reportCache.setReachable({});
        ASSERT_EQ(reportCache.takeChanged(c_start).size(), 1U);
        EXPECT_EQ(reportCache.all(c_start)[0].m_health, BackendHealth::Unhealthy);
        reportCache.setReachable(std::array { c_peer });
        ASSERT_EQ(reportCache.takeChanged(c_start).size(), 1U);
        EXPECT_EQ(reportCache.all(c_start)[0].m_health, BackendHealth::Healthy);
    }

    TEST(ReportCache, changedReportsAreReturnedOnceAndAgainAfterARestart)
    {
        ReportCache reportCache { c_self };
        reportCache.apply(c_self, reportAt(c_start, BackendHealth::Healthy), c_start);
        EXPECT_EQ(reportCache.takeChanged(c_start).size(), 1U);
        EXPECT_TRUE(reportCache.takeChanged(c_start).empty());
        reportCache.markAllChanged();
        EXPECT_EQ(reportCache.takeChanged(c_start).size(), 1U);
        reportCache.retainBackends({});
        reportCache.markAllChanged();
        EXPECT_TRUE(reportCache.takeChanged(c_start).empty());
    }

    TEST(ReportCache, significantChangesAreSentAtOnceAndOthersAtTheRepeatInterval)
    {
        ReportCache reportCache { c_self };
        std::uint64_t revision = 0;
        reportCache.apply(c_self, reportAt(c_start, BackendHealth::Healthy, 1000), c_start);
        EXPECT_EQ(reportCache.ownSince(revision).size(), 1U);
        EXPECT_TRUE(reportCache.ownSince(revision).empty());

        Instant now = c_start + std::chrono::seconds { 1 };
        reportCache.apply(c_self, reportAt(now, BackendHealth::Healthy, 1050), now);
        EXPECT_TRUE(reportCache.ownSince(revision).empty());
        reportCache.apply(c_self, reportAt(now, BackendHealth::Healthy, 1100), now);
        EXPECT_EQ(reportCache.ownSince(revision).size(), 1U);
        reportCache.apply(c_self, reportAt(now, BackendHealth::Unhealthy, 1100), now);
        EXPECT_EQ(reportCache.ownSince(revision).size(), 1U);

        now += ReportCache::s_repeatInterval;
        reportCache.apply(c_self, reportAt(now, BackendHealth::Unhealthy, 1100), now);
        EXPECT_EQ(reportCache.ownSince(revision).size(), 1U);
        reportCache.apply(c_peer, reportAt(now, BackendHealth::Healthy), now);
        EXPECT_TRUE(reportCache.ownSince(revision).empty());
        std::uint64_t fresh = 0;
        EXPECT_EQ(reportCache.ownSince(fresh).size(), 1U);
    }

} // namespace
} // namespace cuminrelay
