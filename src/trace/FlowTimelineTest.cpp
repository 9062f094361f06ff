#include "trace/FlowTimeline.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    constexpr std::string_view c_flow = "100.64.0.7:40001>198.18.0.1:443";

    std::string logObject(std::string_view time, std::string_view fields)
    {
        return R"({"time":"2026-12-04T17:05:)" + std::string { time } + R"(Z","level":"info","slice":"affinity",)"
            + std::string { fields } + "}";
    }

    LogLine line(std::string_view source, std::string_view time, std::string_view fields)
    {
        return parseLogLine(logObject(time, fields), source).value();
    }

    LogLine placedLine(std::string_view source, std::string_view time, std::string_view backend, std::string_view cause)
    {
        return line(source, time,
            R"("event":"flow_placed","flow":")" + std::string { c_flow } + R"(","backend":")" + std::string { backend }
                + R"(","cause":")" + std::string { cause } + '"');
    }

    TEST(LogLineTest, theSourceIsTheWordBeforeTheObjectOrTheFileName)
    {
        const std::string object = logObject("01.250", R"("event":"started","name":"a")");
        EXPECT_EQ(parseLogLine(object, "a-1.log").value().m_source, "a-1.log");
        EXPECT_EQ(parseLogLine("   8.41 front-a-1 | " + object, "x").value().m_source, "front-a-1");
        EXPECT_EQ(parseLogLine("front-a-1: " + object, "x").value().m_source, "front-a-1");
        EXPECT_EQ(parseLogLine(object, "x").value().m_details, "name=a");
    }

    RC_GTEST_PROP(LogLineTest, arbitraryTextIsParsedOrRejected, (const std::string& text))
    {
        static_cast<void>(parseLogLine(text, "x"));
        static_cast<void>(parseLogLine("{" + text, "x"));
    }

    // The backend server of a flow fails.
    TEST(FlowTimelineTest, aResetFlowIsTracedToItsDeadBackendServer)
    {
        const std::vector<LogLine> lines { placedLine("a-1", "01.000", "i-7", "new"),
            line("b-1", "20.100", R"("event":"backend_life","backend":"i-7","state":"silent")"),
            line("a-1", "20.200", R"("event":"backend_life","backend":"i-7","state":"dead")"),
            line("a-1", "20.300", R"("event":"backend_life","backend":"i-8","state":"dead")"),
            line("a-1", "20.400",
                R"("event":"flow_turned_away","flow":")" + std::string { c_flow }
                    + R"(","outcome":"reset","reason":"backend_gone","backend":"i-7")") };
        const FlowTimeline timeline = buildFlowTimeline(c_flow, lines);
        EXPECT_EQ(timeline.m_lines.size(), 4u); // i-8 does not serve this flow
        ASSERT_GE(timeline.m_findings.size(), 3u);
        EXPECT_NE(timeline.m_findings[2].find("i-7 was found dead"), std::string::npos);
        EXPECT_NE(timeline.m_findings.back().find("reset, because backend_gone"), std::string::npos);
    }

    TEST(FlowTimelineTest, aRefusedFlowIsTracedToItsReason)
    {
        const std::vector<LogLine> lines { line("a-1", "01.000",
            R"("event":"flow_turned_away","flow":")" + std::string { c_flow }
                + R"(","outcome":"refused","reason":"no_backend_server","config":12)") };
        const FlowTimeline timeline = buildFlowTimeline(c_flow, lines);
        EXPECT_NE(timeline.m_findings.back().find("refused, because no_backend_server"), std::string::npos);
        EXPECT_NE(timeline.m_findings.back().find("config=12"), std::string::npos);
    }

    // Rolling restart: a VM stops, and a retransmitted opening packet reaches another VM.
    TEST(FlowTimelineTest, anInterruptedFlowIsTracedToAStoppedVm)
    {
        const std::vector<LogLine> lines { placedLine("a-1", "10.000", "i-3", "new"),
            line("a-1", "10.050", R"("event":"stopping","tracked_flows":4)"),
            line("c-9", "10.060", R"("event":"stopping","tracked_flows":4)"),
            placedLine("a-2", "10.210", "i-3", "second_choice"),
            line("a-2", "10.900", R"("event":"backend_changed","backend":"i-3","state":"draining")") };
        const FlowTimeline timeline = buildFlowTimeline(c_flow, lines);
        EXPECT_EQ(timeline.m_lines.size(), 4u); // c-9 did not handle this flow
        EXPECT_NE(timeline.m_findings[1].find("stopping"), std::string::npos);
        EXPECT_NE(timeline.m_findings[3].find("i-3 is draining"), std::string::npos);
        EXPECT_NE(timeline.m_findings.back().find("no VM refused"), std::string::npos);
    }

    TEST(FlowTimelineTest, aFlowWithoutLinesReportsKilledVms)
    {
        const std::vector<LogLine> lines { line("a-1", "01.000", R"("event":"started")"),
            line("a-2", "01.000", R"("event":"started")"), line("a-2", "05.000", R"("event":"stopping")"),
            line("a-2", "08.000", R"("event":"started")"), line("a-1", "09.000", R"("event":"started")") };
        const FlowTimeline timeline = buildFlowTimeline(c_flow, lines);
        ASSERT_EQ(timeline.m_findings.size(), 2u);
        EXPECT_NE(timeline.m_findings[0].find("a-1 was killed"), std::string::npos);
        EXPECT_NE(timeline.m_findings[1].find("no VM logged this flow"), std::string::npos);
    }

    TEST(FlowTimelineTest, linesOfSeveralVmsAreSortedByTime)
    {
        const std::vector<LogLine> lines { placedLine("a-2", "02.000", "i-1", "copy"),
            placedLine("a-1", "01.000", "i-1", "new") };
        const FlowTimeline timeline = buildFlowTimeline(c_flow, lines);
        ASSERT_EQ(timeline.m_lines.size(), 2u);
        EXPECT_EQ(timeline.m_lines[0].m_source, "a-1");
    }

} // namespace
} // namespace cuminrelay
