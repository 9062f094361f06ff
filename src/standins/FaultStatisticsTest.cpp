#include "standins/CallersReport.h"

#include <array>
#include <gtest/gtest.h>

namespace cuminrelay::standins {
namespace {

    constexpr Duration c_second = std::chrono::seconds { 1 };

    class FaultStatisticsTest : public testing::Test {
    protected:
        FlowTrace open(std::string_view host)
        {
            m_faultStatistics.flowOpened(m_clock.now());
            return { m_clock.now(), m_clock.now(), std::string { host } };
        }

        void mark(std::string_view name, std::int64_t unixMs = 0)
        {
            m_faultStatistics.mark(name, m_clock.now(), unixMs);
        }

        ManualClock m_clock;
        FaultStatistics m_faultStatistics;
    };

    TEST_F(FaultStatisticsTest, flowsAreCountedByTheirAgeAtTheFault)
    {
        const FlowTrace established = open("host-1");
        const FlowTrace ended = open("host-1");
        m_clock.advance(c_second);
        m_faultStatistics.flowEnded(ended);
        const FlowTrace younger = open("host-2");
        m_clock.advance(c_second * 3 / 2);
        mark("kill");
        const FlowTrace later = open("");
        EXPECT_EQ(m_faultStatistics.current().m_established, 1U);
        EXPECT_EQ(m_faultStatistics.current().m_younger, 2U);
        m_faultStatistics.flowBroken(established, m_clock.now());
        m_faultStatistics.flowBroken(younger, m_clock.now());
        m_faultStatistics.flowBroken(later, m_clock.now());
        EXPECT_EQ(m_faultStatistics.current().m_establishedBroken, 1U);
        EXPECT_EQ(m_faultStatistics.current().m_youngerBroken, 2U);
        EXPECT_EQ(m_faultStatistics.current().m_brokenByHost.at("host-1"), 1U);
        EXPECT_EQ(m_faultStatistics.current().m_brokenByHost.at(""), 1U);
    }

    TEST_F(FaultStatisticsTest, stalledFlowIsCountedForTheFaultAtWhichItsPacketsStopped)
    {
        FlowTrace feed = open("host-1");
        m_clock.advance(c_second * 5);
        feed.m_lastPacketAt = m_clock.now();
        mark("freeze");
        m_clock.advance(c_second * 6);
        mark("kill");
        m_clock.advance(c_second * 6);
        m_faultStatistics.flowTimedOut(feed);
        EXPECT_EQ(m_faultStatistics.faults()[1].m_establishedBroken, 1U);
        EXPECT_EQ(m_faultStatistics.current().m_establishedBroken, 0U);
    }

    TEST_F(FaultStatisticsTest, workThatRanTwiceIsCountedForTheFaultOfItsSecondRun)
    {
        CallersReport report;
        report.m_faultStatistics.mark("freeze", m_clock.now(), 1000);
        report.m_faultStatistics.mark("kill", m_clock.now(), 2000);
        report.m_notRun = { "refused" };
        const std::array<RunRecord, 3> records { {
            { "booking", false, 1900 },
            { "booking", false, 1100 },
            { "refused", false, 2100 },
        } };
        report.compareWith(records);
        EXPECT_EQ(report.m_faultStatistics.faults()[1].m_runTwice, 1U);
        EXPECT_EQ(report.m_faultStatistics.faults()[2].m_runTwice, 0U);
        EXPECT_EQ(report.m_faultStatistics.faults()[2].m_refusedButRun, 1U);
    }

} // namespace
} // namespace cuminrelay::standins
