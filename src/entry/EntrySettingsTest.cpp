#include "entry/EntrySettings.h"

#include <gtest/gtest.h>
#include <string>

namespace cuminrelay {
namespace {

    const std::string c_required = R"("name":"entry-1","zone":"khomas-a","packets":"127.0.0.1:1","peers":"127.0.0.1:2",
        "replica":"127.0.0.1:3","entry_rpc":"127.0.0.1:4","metrics":"127.0.0.1:5","answers":"127.0.0.1:6")";

    Outcome<EntrySettings> read(const std::string& text)
    {
        Outcome<SettingsReader> reader = SettingsReader::parse("entry.json", text);
        if (!reader)
            return reader.error();
        EntrySettings settings = readEntrySettings(reader.value());
        if (const Outcome<void> finished = reader.value().finish(); !finished)
            return finished.error();
        return settings;
    }

    std::string problemsOf(const std::string& text)
    {
        const Outcome<EntrySettings> settings = read(text);
        return settings ? std::string {} : settings.error().m_message;
    }

    TEST(EntrySettings, allKeysAreRead)
    {
        const Outcome<EntrySettings> read = cuminrelay::read("{" + c_required
            + R"(,"fabric_sources":["10.0.0.1","10.0.0.2"],"flow_limit":5000,"replica_bytes_per_second":9000,
                "leave_deadline_ms":1500,"log_level":"warning"})");
        ASSERT_TRUE(read.has_value()) << read.error().m_message;
        const EntrySettings& settings = read.value();
        EXPECT_EQ(settings.m_name, "entry-1");
        EXPECT_EQ(settings.m_zone, "khomas-a");
        EXPECT_EQ(settings.m_packets, (Endpoint { 0x7f000001, 1 }));
        EXPECT_EQ(settings.m_answers, (Endpoint { 0x7f000001, 6 }));
        EXPECT_EQ(settings.m_fabricSources, (std::vector<std::uint32_t> { 0x0a000001, 0x0a000002 }));
        EXPECT_EQ(settings.m_flowLimit, 5000U);
        EXPECT_EQ(settings.m_replicaBytesPerSecond, 9000U);
        EXPECT_EQ(settings.m_leaveTimeout, std::chrono::milliseconds { 1500 });
        EXPECT_EQ(settings.m_logLevel, LogLevel::Warning);
    }

    TEST(EntrySettings, fabricSourcesAreRequired)
    {
        EXPECT_NE(problemsOf("{" + c_required + "}").find("fabric_sources"), std::string::npos);
        const std::string problems = problemsOf("{" + c_required + R"(,"fabric_sources":["10.0.0"]})");
        EXPECT_NE(problems.find("\"10.0.0\" is no IPv4 address"), std::string::npos) << problems;
    }

    TEST(EntrySettings, eachInvalidKeyIsReported)
    {
        const std::string problems = problemsOf("{" + c_required
            + R"(,"fabric_sources":["10.0.0.1"],"flow_limit":5,"leave_deadline":100,"log_level":"loud"})");
        for (const char* const expected : { "flow_limit", "leave_deadline", "log_level" })
            EXPECT_NE(problems.find(expected), std::string::npos) << problems;
    }

    TEST(EntrySettings, packetsAndPeersNeedDifferentEndpoints)
    {
        std::string text = "{" + c_required + R"(,"fabric_sources":["10.0.0.1"]})";
        text.replace(text.find("127.0.0.1:2"), 11, "127.0.0.1:1");
        EXPECT_NE(problemsOf(text).find("peers"), std::string::npos);
    }

} // namespace
} // namespace cuminrelay
