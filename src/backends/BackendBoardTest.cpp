#include "backends/BackendBoard.h"

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

    BackendBoard boardWithBackend()
    {
        BackendBoard board;
        board.declare(c_backend, 2, 2000, false, c_start);
        return board;
    }

    TEST(BackendBoard, openingsAfterTheMeasurementStayOnTopOfALateReport)
    {
        BackendBoard board = boardWithBackend();
        board.setOwnerCount(8);
        for (int i = 0; i < 10; ++i)
            board.noteOpened(c_backend, after(0));
        for (int i = 0; i < 3; ++i)
            board.noteOpened(c_backend, after(1500));
        board.noteClosed(c_backend, false, after(1600));
        board.apply(reportAt(after(1000), 100));
        const BackendStatus* const status = board.find(c_backend);
        ASSERT_NE(status, nullptr);
        EXPECT_EQ(status->m_openedSinceReport, 3);
        EXPECT_EQ(status->m_closedSinceReport, 1);
        EXPECT_EQ(status->m_ownFlows, 12);
        EXPECT_DOUBLE_EQ(board.estimatedConnections(*status, after(2000)), 100 + 8 * 2);
    }

    TEST(BackendBoard, anOlderReportIsIgnored)
    {
        BackendBoard board = boardWithBackend();
        board.apply(reportAt(after(1000), 100));
        board.apply(reportAt(after(500), 7));
        EXPECT_EQ(board.find(c_backend)->m_report.m_connections, 100);
    }

    TEST(BackendBoard, aStaleReportYieldsToOwnKnowledge)
    {
        BackendBoard board = boardWithBackend();
        board.setOwnerCount(4);
        board.apply(reportAt(after(0), 1500));
        board.noteOpened(c_backend, after(100));
        EXPECT_DOUBLE_EQ(board.estimatedConnections(*board.find(c_backend), after(200)), 1504);
        EXPECT_DOUBLE_EQ(board.estimatedConnections(*board.find(c_backend), after(60'000)), 4);
    }

    TEST(BackendBoard, coldStartBeginsWhenDeclaredAgainHealthyOrNoLongerDraining)
    {
        BackendBoard board = boardWithBackend();
        EXPECT_EQ(board.find(c_backend)->m_rampBegan, c_start);
        board.declare(c_backend, 2, 2000, true, after(1000));
        EXPECT_EQ(board.find(c_backend)->m_rampBegan, c_start);
        board.declare(c_backend, 2, 2000, false, after(2000));
        EXPECT_EQ(board.find(c_backend)->m_rampBegan, after(2000));
        BackendReport report = reportAt(after(3000), 0);
        report.m_health = BackendHealth::Unhealthy;
        board.apply(report);
        EXPECT_EQ(board.find(c_backend)->m_rampBegan, after(2000));
        board.apply(reportAt(after(4000), 0));
        EXPECT_EQ(board.find(c_backend)->m_rampBegan, after(4000));
        EXPECT_GT(board.find(c_backend)->m_rampEnds, after(4000));
    }

    TEST(BackendBoard, forgetsWhatIsNoLongerDeclared)
    {
        BackendBoard board = boardWithBackend();
        const Endpoint other { 0x0a000002, 4000 };
        board.declare(other, 2, 2000, false, c_start);
        board.retainOnly(std::span { &other, 1 });
        EXPECT_EQ(board.find(c_backend), nullptr);
        EXPECT_NE(board.find(other), nullptr);
        board.noteOpened(c_backend, c_start);
        board.noteClosed(c_backend, true, c_start);
        board.apply(reportAt(c_start, 1));
        EXPECT_EQ(board.size(), 1);
    }

    TEST(BackendBoard, unansweredOpeningsCountUntilOneIsAnswered)
    {
        BackendBoard board = boardWithBackend();
        board.noteOpened(c_backend, after(10));
        board.noteOpened(c_backend, after(20));
        EXPECT_EQ(board.find(c_backend)->m_unprovenSince, after(10));
        EXPECT_EQ(board.find(c_backend)->m_unprovenOpenings, 2);
        board.noteProven(c_backend);
        EXPECT_EQ(board.find(c_backend)->m_unprovenOpenings, 0);
        board.noteOpened(c_backend, after(30));
        EXPECT_EQ(board.find(c_backend)->m_unprovenSince, after(30));
    }

    RC_GTEST_PROP(BackendBoard, ownCountsFollowOpeningsAndClosings, (const std::vector<bool>& openings))
    {
        BackendBoard board = boardWithBackend();
        std::uint32_t open = 0;
        int step = 0;
        for (const bool opening : openings) {
            ++step;
            if (opening) {
                board.noteOpened(c_backend, after(step));
                ++open;
            } else {
                board.noteClosed(c_backend, false, after(step));
                open -= open > 0 ? 1 : 0;
            }
        }
        RC_ASSERT(board.find(c_backend)->m_ownFlows == open);
    }

    TEST(BusySlotHistory, slotsAreHeldOnceTheyStayBusyOverFiveReports)
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
