#include "backends/BackendStatusTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Endpoint c_backend { 0x0a000001, 4000 };
    constexpr Instant c_start { std::chrono::seconds { 1000 } };

    Instant after(int milliseconds)
    {
        return c_start + std::chrono::milliseconds { milliseconds };
    }

    BackendReport reportAt(Instant measuredAt, std::uint32_t connections)
    {
        return BackendReport { .m_backend = c_backend, .m_connections = connections, .m_measuredAt = measuredAt };
    }

    BackendStatusTable statusesWithBackend()
    {
        BackendStatusTable backendStatuses;
        backendStatuses.declare(c_backend, 2, 2000, false, c_start);
        return backendStatuses;
    }

    TEST(BackendStatusTable, flowsAfterTheMeasurementAreAddedToALateReport)
    {
        BackendStatusTable backendStatuses = statusesWithBackend();
        backendStatuses.setOwnerCount(8);
        for (int i = 0; i < 10; ++i)
            backendStatuses.recordOpened(c_backend, after(0));
        for (int i = 0; i < 3; ++i)
            backendStatuses.recordOpened(c_backend, after(1500));
        backendStatuses.recordClosed(c_backend, false, after(1600));
        backendStatuses.apply(reportAt(after(1000), 100));
        const BackendStatus* const status = backendStatuses.find(c_backend);
        ASSERT_NE(status, nullptr);
        EXPECT_EQ(status->m_openedSinceReport, 3);
        EXPECT_EQ(status->m_closedSinceReport, 1);
        EXPECT_EQ(status->m_ownFlows, 12);
        EXPECT_DOUBLE_EQ(backendStatuses.estimatedConnections(*status, after(2000)), 100 + 8 * 2);
    }

    TEST(BackendStatusTable, olderReportsAreIgnored)
    {
        BackendStatusTable backendStatuses = statusesWithBackend();
        backendStatuses.apply(reportAt(after(1000), 100));
        backendStatuses.apply(reportAt(after(500), 7));
        EXPECT_EQ(backendStatuses.find(c_backend)->m_report.m_connections, 100);
    }

    TEST(BackendStatusTable, aStaleReportIsReplacedByOwnFlows)
    {
        BackendStatusTable backendStatuses = statusesWithBackend();
        backendStatuses.setOwnerCount(4);
        backendStatuses.apply(reportAt(after(0), 1500));
        backendStatuses.recordOpened(c_backend, after(100));
        EXPECT_DOUBLE_EQ(backendStatuses.estimatedConnections(*backendStatuses.find(c_backend), after(200)), 1504);
        EXPECT_DOUBLE_EQ(backendStatuses.estimatedConnections(*backendStatuses.find(c_backend), after(60'000)), 4);
    }

    TEST(BackendStatusTable, coldStartBeginsWhenDeclaredNoLongerDrainingOrHealthyAgain)
    {
        BackendStatusTable backendStatuses = statusesWithBackend();
        EXPECT_EQ(backendStatuses.find(c_backend)->m_coldStartBegan, c_start);
        backendStatuses.declare(c_backend, 2, 2000, true, after(1000));
        EXPECT_EQ(backendStatuses.find(c_backend)->m_coldStartBegan, c_start);
        backendStatuses.declare(c_backend, 2, 2000, false, after(2000));
        EXPECT_EQ(backendStatuses.find(c_backend)->m_coldStartBegan, after(2000));
        BackendReport report = reportAt(after(3000), 0);
        report.m_health = BackendHealth::Unhealthy;
        backendStatuses.apply(report);
        EXPECT_EQ(backendStatuses.find(c_backend)->m_coldStartBegan, after(2000));
        backendStatuses.apply(reportAt(after(4000), 0));
        EXPECT_EQ(backendStatuses.find(c_backend)->m_coldStartBegan, after(4000));
        EXPECT_GT(backendStatuses.find(c_backend)->m_coldStartEnds, after(4000));
    }

    TEST(BackendStatusTable, removesUndeclaredBackendServers)
    {
        BackendStatusTable backendStatuses = statusesWithBackend();
        const Endpoint other { 0x0a000002, 4000 };
        backendStatuses.declare(other, 2, 2000, false, c_start);
        backendStatuses.retainOnly(std::span { &other, 1 });
        EXPECT_EQ(backendStatuses.find(c_backend), nullptr);
        EXPECT_NE(backendStatuses.find(other), nullptr);
        backendStatuses.recordOpened(c_backend, c_start);
        backendStatuses.recordClosed(c_backend, true, c_start);
        backendStatuses.apply(reportAt(c_start, 1));
        EXPECT_EQ(backendStatuses.size(), 1);
    }

    TEST(BackendStatusTable, unansweredOpeningsCountUntilOneIsAnswered)
    {
        BackendStatusTable backendStatuses = statusesWithBackend();
        backendStatuses.recordOpened(c_backend, after(10));
        backendStatuses.recordOpened(c_backend, after(20));
        EXPECT_EQ(backendStatuses.find(c_backend)->m_unansweredSince, after(10));
        EXPECT_EQ(backendStatuses.find(c_backend)->m_unansweredOpenings, 2);
        backendStatuses.recordAnsweredOpening(c_backend);
        EXPECT_EQ(backendStatuses.find(c_backend)->m_unansweredOpenings, 0);
        backendStatuses.recordOpened(c_backend, after(30));
        EXPECT_EQ(backendStatuses.find(c_backend)->m_unansweredSince, after(30));
    }

    RC_GTEST_PROP(BackendStatusTable, ownCountsFollowOpeningsAndClosings, (const std::vector<bool>& openings))
    {
        BackendStatusTable backendStatuses = statusesWithBackend();
        std::uint32_t open = 0;
        int step = 0;
        for (const bool opening : openings) {
            ++step;
            if (opening) {
                backendStatuses.recordOpened(c_backend, after(step));
                ++open;
            } else {
                backendStatuses.recordClosed(c_backend, false, after(step));
                open -= open > 0 ? 1 : 0;
            }
        }
        RC_ASSERT(backendStatuses.find(c_backend)->m_ownFlows == open);
    }

    TEST(BusySlotHistory, slotsAreOccupiedWhenBusyInFiveReports)
    {
        BusySlotHistory history;
        for (int report = 0; report < 4; ++report) {
            history.add(2);
            EXPECT_EQ(history.fewest(), 0);
        }
        history.add(1);
        EXPECT_EQ(history.fewest(), 1);
        history.add(0);
        EXPECT_EQ(history.fewest(), 0);
    }

} // namespace
} // namespace cuminrelay
