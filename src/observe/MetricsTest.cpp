#include "observe/Metrics.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    TEST(Metrics, eachReasonHasASeparateCounter)
    {
        Metrics metrics;
        metrics.counter("cuminrelay_drops_total", "hop_limit").add(2);
        metrics.counter("cuminrelay_drops_total", "malformed").add();
        metrics.counter("cuminrelay_packets_received_total").add(7);
        EXPECT_EQ(metrics.total("cuminrelay_drops_total"), 3U);
        EXPECT_EQ(metrics.total("cuminrelay_unknown_total"), 0U);
        EXPECT_EQ(metrics.prometheusText(),
            "# TYPE cuminrelay_drops_total counter\n"
            "cuminrelay_drops_total{reason=\"hop_limit\"} 2\n"
            "cuminrelay_drops_total{reason=\"malformed\"} 1\n"
            "# TYPE cuminrelay_packets_received_total counter\n"
            "cuminrelay_packets_received_total 7\n");
    }

    TEST(Metrics, aGaugeShowsTheLastValueOfEachState)
    {
        Metrics metrics;
        metrics.gauge("cuminrelay_backends", "ready").set(4);
        metrics.gauge("cuminrelay_backends", "ready").set(3);
        metrics.gauge("cuminrelay_knowledge_age_seconds").set(0.25);
        EXPECT_EQ(metrics.prometheusText(),
            "# TYPE cuminrelay_backends gauge\n"
            "cuminrelay_backends{state=\"ready\"} 3\n"
            "# TYPE cuminrelay_knowledge_age_seconds gauge\n"
            "cuminrelay_knowledge_age_seconds 0.25\n");
    }

    TEST(Metrics, aHistogramIncludesSamplesOutsideItsBins)
    {
        Metrics metrics;
        for (const double seconds : { 0.0, 0.5, 1.5, 1000.0 })
            metrics.observeSeconds("cuminrelay_call_seconds", seconds);
        const std::string text = metrics.prometheusText();
        EXPECT_NE(text.find("# TYPE cuminrelay_call_seconds histogram\n"), std::string::npos);
        EXPECT_NE(text.find("cuminrelay_call_seconds_bucket{le=\"1e-06\"} 1\n"), std::string::npos) << text;
        EXPECT_NE(text.find("cuminrelay_call_seconds_bucket{le=\"100\"} 3\n"), std::string::npos) << text;
        EXPECT_NE(text.find("cuminrelay_call_seconds_bucket{le=\"+Inf\"} 4\n"), std::string::npos);
        EXPECT_NE(text.find("cuminrelay_call_seconds_sum 1002\ncuminrelay_call_seconds_count 4\n"), std::string::npos);
    }

} // namespace
} // namespace cuminrelay
