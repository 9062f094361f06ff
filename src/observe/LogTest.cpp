#include "observe/Log.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    /// A log that writes to a temporary file, with a clock that the test controls.
    class RecordedLog {
    public:
        explicit RecordedLog(LogLevel minimum = LogLevel::Info)
            : m_output(std::tmpfile(), &std::fclose)
            , m_sink(*m_output)
            , m_log(minimum, m_clock, m_sink)
        {
        }

        Log& log() { return m_log; }
        ManualClock& clock() { return m_clock; }

        /// All lines written so far. A line that is not JSON fails the test.
        std::vector<boost::json::object> lines()
        {
            std::rewind(m_output.get());
            std::vector<boost::json::object> lines;
            std::string line;
            for (int c = std::fgetc(m_output.get()); c != EOF; c = std::fgetc(m_output.get())) {
                if (c != '\n') {
                    line += static_cast<char>(c);
                    continue;
                }
                boost::system::error_code failure;
                const boost::json::value parsed = boost::json::parse(line, failure);
                EXPECT_FALSE(failure) << line;
                lines.push_back(parsed.is_object() ? parsed.get_object() : boost::json::object {});
                line.clear();
            }
            return lines;
        }

    private:
        ManualClock m_clock;
        std::unique_ptr<std::FILE, int (*)(std::FILE*)> m_output;
        StreamSink m_sink;
        Log m_log;
    };

    TEST(Log, aLineContainsTimeLevelSliceEventAndFields)
    {
        RecordedLog recorded;
        recorded.log().warning("flows", "paused", { { "name", "a \"b\"\n" }, { "flows", 3 }, { "share", 0.5 } });
        const std::vector<boost::json::object> lines = recorded.lines();
        ASSERT_EQ(lines.size(), 1U);
        EXPECT_EQ(lines[0].at("level"), "warning");
        EXPECT_EQ(lines[0].at("slice"), "flows");
        EXPECT_EQ(lines[0].at("event"), "paused");
        EXPECT_EQ(lines[0].at("name"), "a \"b\"\n");
        EXPECT_EQ(lines[0].at("flows").to_number<int>(), 3);
        EXPECT_EQ(lines[0].at("share").to_number<double>(), 0.5);
        EXPECT_TRUE(lines[0].at("time").is_string());
    }

    TEST(Log, linesBelowTheLevelAreNotWritten)
    {
        RecordedLog recorded { LogLevel::Warning };
        recorded.log().info("flows", "opened");
        recorded.log().debug("flows", "opened");
        EXPECT_TRUE(recorded.lines().empty());
    }

    TEST(Log, linesPerEventAreLimitedAndSuppressedLinesCounted)
    {
        constexpr unsigned excessLines = 7;
        RecordedLog recorded;
        for (unsigned i = 0; i < Log::s_linesPerWindow + excessLines; ++i)
            recorded.log().info("flows", "dropped");
        recorded.log().info("flows", "other");
        EXPECT_EQ(recorded.lines().size(), Log::s_linesPerWindow + 1);
        recorded.clock().advance(std::chrono::seconds { 1 });
        recorded.log().info("flows", "dropped");
        recorded.log().info("flows", "dropped");
        const std::vector<boost::json::object> lines = recorded.lines();
        ASSERT_EQ(lines.size(), Log::s_linesPerWindow + 3);
        EXPECT_EQ(lines[Log::s_linesPerWindow + 1].at("suppressed").to_number<unsigned>(), excessLines);
        EXPECT_FALSE(lines.back().contains("suppressed"));
    }

    RC_GTEST_PROP(Log, anyBytesMakeOneValidLine, (const std::string& text))
    {
        RecordedLog recorded;
        recorded.log().error("platform", "answered", { { "body", text } });
        RC_ASSERT(recorded.lines().size() == 1U);
    }

    TEST(Log, validTextIsKeptAndInvalidBytesAreReplaced)
    {
        RecordedLog recorded;
        recorded.log().error(
            "platform", "answered", { { "valid", "Dohoku \xe9\x81\x93\xe5\x8c\x97" }, { "cut", "a\xe9\x81" } });
        const std::vector<boost::json::object> lines = recorded.lines();
        ASSERT_EQ(lines.size(), 1U);
        EXPECT_EQ(lines[0].at("valid"), "Dohoku \xe9\x81\x93\xe5\x8c\x97");
        EXPECT_EQ(lines[0].at("cut"), "a\xef\xbf\xbd");
    }

} // namespace
} // namespace cuminrelay
