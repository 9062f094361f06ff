#pragma once

#include <cstdio>
#include <string_view>

namespace cuminrelay {

/// Destination of log lines.
class LogSink {
public:
    LogSink() = default;
    LogSink(const LogSink&) = delete;
    LogSink& operator=(const LogSink&) = delete;
    virtual ~LogSink() = default;

    /// Writes one line, line end included.
    virtual void write(std::string_view line) = 0;
};

/// Writes to a stdio stream, which must outlive the sink.
class StreamSink final : public LogSink {
public:
    explicit StreamSink(std::FILE& stream)
        : m_stream(stream)
    {
    }

    void write(std::string_view line) override { std::fwrite(line.data(), 1, line.size(), &m_stream); }

private:
    std::FILE& m_stream;
};

} // namespace cuminrelay
