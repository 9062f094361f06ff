#include "observe/NonBlockingSink.h"

#include "observe/Log.h"

#include <array>
#include <boost/json/parse.hpp>
#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace cuminrelay {
namespace {

    constexpr std::size_t c_capacityBytes = 16'384;

    /// A non-blocking pipe that the test reads.
    class Pipe {
    public:
        Pipe() { EXPECT_EQ(pipe2(m_ends.data(), O_NONBLOCK), 0); }

        ~Pipe()
        {
            closeReader();
            close(m_ends[1]);
        }

        int writer() const { return m_ends[1]; }

        void closeReader()
        {
            if (m_ends[0] >= 0)
                close(std::exchange(m_ends[0], -1));
        }

        std::string read(std::size_t maximumBytes)
        {
            std::string bytes(maximumBytes, '\0');
            const ssize_t count = ::read(m_ends[0], bytes.data(), bytes.size());
            bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
            return bytes;
        }

    private:
        std::array<int, 2> m_ends { -1, -1 };
    };

    /// Flushes the sink and reads until no more bytes arrive. Each line must be JSON.
    std::vector<boost::json::object> readAll(Pipe& pipe, NonBlockingSink& sink)
    {
        std::string text;
        for (std::size_t before = std::string::npos; before != text.size();) {
            before = text.size();
            sink.flush();
            text += pipe.read(65'536);
        }
        std::vector<boost::json::object> lines;
        std::size_t begin = 0;
        for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
            if (end > begin)
                lines.push_back(boost::json::parse(std::string_view { text }.substr(begin, end - begin)).as_object());
            begin = end + 1;
        }
        return lines;
    }

    TEST(NonBlockingSinkTest, aFullBufferDropsCompleteLinesAndReportsTheirNumber)
    {
        Pipe pipe;
        NonBlockingSink sink { pipe.writer(), c_capacityBytes };
        ManualClock clock;
        Log log { LogLevel::Info, clock, sink };
        constexpr std::size_t events = 2'000;
        for (std::size_t i = 0; i < events; ++i) { // separate events, so that the log's rate limit suppresses none
            log.info("test", "event_" + std::to_string(i), { { "padding", std::string(100, 'x') } });
            sink.flush();
        }
        EXPECT_GT(sink.lostLines(), 0u);
        // The bytes in the pipe may end within a line; flush() writes the rest.
        const std::vector<boost::json::object> lines = readAll(pipe, sink);
        std::size_t receivedLines = 0;
        std::int64_t reportedLines = 0;
        for (const boost::json::object& line : lines) {
            if (line.at("event") == "log_lines_lost")
                reportedLines += line.at("lines").as_int64();
            else
                ++receivedLines;
        }
        EXPECT_EQ(receivedLines + sink.lostLines(), events);
        EXPECT_EQ(reportedLines, static_cast<std::int64_t>(sink.lostLines()));
    }

    TEST(NonBlockingSinkTest, aClosedOutputOnlyLosesLines)
    {
        std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): ignoring installs no handler
        Pipe pipe;
        NonBlockingSink sink { pipe.writer(), c_capacityBytes };
        pipe.closeReader();
        sink.write("{}\n");
        sink.flush();
        for (int i = 0; i < 10; ++i)
            sink.write("{}\n");
        sink.flush();
        EXPECT_EQ(sink.lostLines(), 10u);
    }

    TEST(NonBlockingSinkTest, anInvalidDescriptorOnlyLosesLines)
    {
        NonBlockingSink sink { -1, c_capacityBytes };
        sink.write("{}\n");
        sink.flush();
        EXPECT_EQ(sink.lostLines(), 1u);
    }

    // 640 opening packets per second are ten times the design load of a VM.
    TEST(NonBlockingSinkTest, linesAreLimitedAndCountedAtTenTimesTheDesignLoad)
    {
        Pipe pipe;
        NonBlockingSink sink { pipe.writer(), 4'000'000 };
        ManualClock clock;
        Log log { LogLevel::Info, clock, sink };
        constexpr unsigned openingPacketsPerSecond = 640;
        constexpr unsigned simulatedSeconds = 5;
        for (unsigned i = 0; i < openingPacketsPerSecond * simulatedSeconds; ++i) {
            log.info("affinity", "flow_placed", { { "flow", i } });
            clock.advance(std::chrono::microseconds { 1'000'000 / openingPacketsPerSecond });
        }
        clock.advance(std::chrono::seconds { 1 });
        log.info("affinity", "flow_placed", {});
        std::size_t lines = 0;
        std::int64_t suppressedLines = 0;
        for (const boost::json::object& line : readAll(pipe, sink)) {
            ++lines;
            if (line.contains("suppressed"))
                suppressedLines += line.at("suppressed").as_int64();
        }
        EXPECT_LE(lines, (simulatedSeconds + 1) * Log::s_linesPerWindow + 1);
        EXPECT_EQ(static_cast<std::int64_t>(lines) + suppressedLines, openingPacketsPerSecond * simulatedSeconds + 1);
    }

} // namespace
} // namespace cuminrelay
