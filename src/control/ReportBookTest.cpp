#include "control/ReportBook.h"

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

    TEST(ReportBook, whatAnyProberReachesIsHealthy)
    {
        ReportBook book { c_self };
        book.apply(c_self, reportAt(c_start, BackendHealth::Healthy, 40), c_start);
        book.apply(c_peer, reportAt(c_start + Duration { 1 }, BackendHealth::Unhealthy, 0), c_start);
        ASSERT_EQ(book.all(c_start).size(), 1U);
        EXPECT_EQ(book.all(c_start)[0].m_health, BackendHealth::Healthy);
        EXPECT_EQ(book.all(c_start)[0].m_connections, 40U);
        book.apply(c_self, reportAt(c_start + Duration { 2 }, BackendHealth::Partitioned), c_start);
        EXPECT_EQ(book.all(c_start)[0].m_health, BackendHealth::Partitioned);
        book.apply(c_self, reportAt(c_start + Duration { 3 }, BackendHealth::Unhealthy), c_start);
        EXPECT_EQ(book.all(c_start)[0].m_health, BackendHealth::Unhealthy);
    }

    TEST(ReportBook, anOlderReportOfTheSameProberIsIgnored)
    {
        ReportBook book { c_self };
        book.apply(c_peer, reportAt(c_start, BackendHealth::Unhealthy), c_start);
        book.apply(c_peer, reportAt(c_start - Duration { 1 }, BackendHealth::Healthy), c_start);
        EXPECT_EQ(book.all(c_start)[0].m_health, BackendHealth::Unhealthy);
    }

    TEST(ReportBook, reportsOfProbersThatAreGoneOrSilentNoLongerCount)
    {
        ReportBook book { c_self };
        book.apply(c_self, reportAt(c_start, BackendHealth::Unhealthy), c_start);
        book.apply(c_peer, reportAt(c_start, BackendHealth::Healthy), c_start);
        (void)book.takeChanged(c_start);
        book.retainProbers({});
        ASSERT_EQ(book.takeChanged(c_start).size(), 1U);
        EXPECT_EQ(book.all(c_start)[0].m_health, BackendHealth::Unhealthy);
        EXPECT_TRUE(book.all(c_start + ReportBook::s_expiry).empty());
    }

    TEST(ReportBook, reportsOfAProberThatIsAwayCountAgainWhenItIsBack)
    {
        ReportBook book { c_self };
        book.apply(c_self, reportAt(c_start, BackendHealth::Unhealthy), c_start);
        book.apply(c_peer, reportAt(c_start, BackendHealth::Healthy), c_start);
        (void)book.takeChanged(c_start);
        book.setReachable({});
        ASSERT_EQ(book.takeChanged(c_start).size(), 1U);
        EXPECT_EQ(book.all(c_start)[0].m_health, BackendHealth::Unhealthy);
        book.setReachable(std::array { c_peer });
        ASSERT_EQ(book.takeChanged(c_start).size(), 1U);
        EXPECT_EQ(book.all(c_start)[0].m_health, BackendHealth::Healthy);
    }

    TEST(ReportBook, changedReportsAreTakenOnceAndAgainAfterARestart)
    {
        ReportBook book { c_self };
        book.apply(c_self, reportAt(c_start, BackendHealth::Healthy), c_start);
        EXPECT_EQ(book.takeChanged(c_start).size(), 1U);
        EXPECT_TRUE(book.takeChanged(c_start).empty());
        book.markAllChanged();
        EXPECT_EQ(book.takeChanged(c_start).size(), 1U);
        book.retainBackends({});
        book.markAllChanged();
        EXPECT_TRUE(book.takeChanged(c_start).empty());
    }

    TEST(ReportBook, peersAreToldOfNoticeableChangesAndNowAndThenOfTheRest)
    {
        ReportBook book { c_self };
        std::uint64_t revision = 0;
        book.apply(c_self, reportAt(c_start, BackendHealth::Healthy, 1000), c_start);
        EXPECT_EQ(book.ownSince(revision).size(), 1U);
        EXPECT_TRUE(book.ownSince(revision).empty());

        Instant now = c_start + std::chrono::seconds { 1 };
        book.apply(c_self, reportAt(now, BackendHealth::Healthy, 1050), now);
        EXPECT_TRUE(book.ownSince(revision).empty());
        book.apply(c_self, reportAt(now, BackendHealth::Healthy, 1100), now);
        EXPECT_EQ(book.ownSince(revision).size(), 1U);
        book.apply(c_self, reportAt(now, BackendHealth::Unhealthy, 1100), now);
        EXPECT_EQ(book.ownSince(revision).size(), 1U);

        now += ReportBook::s_repeat;
        book.apply(c_self, reportAt(now, BackendHealth::Unhealthy, 1100), now);
        EXPECT_EQ(book.ownSince(revision).size(), 1U);
        book.apply(c_peer, reportAt(now, BackendHealth::Healthy), now);
        EXPECT_TRUE(book.ownSince(revision).empty());
        std::uint64_t fresh = 0;
        EXPECT_EQ(book.ownSince(fresh).size(), 1U);
    }

} // namespace
} // namespace cuminrelay
