#pragma once

#include "observe/LogSink.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cuminrelay {

/// Buffers lines and writes them to a descriptor without blocking. While the buffer is full, complete lines are
/// dropped; a line with their number follows the buffered lines. Not thread-safe. The process must ignore SIGPIPE.
class NonBlockingSink final : public LogSink {
public:
    /// Sets the descriptor to non-blocking mode. capacity: size of the buffer in bytes.
    NonBlockingSink(int descriptor, std::size_t capacity);

    void write(std::string_view line) override;

    /// Writes as many bytes as the descriptor accepts now; call it regularly. After an error other than EINTR and
    /// EAGAIN nothing more is written, buffered lines are lost uncounted, and further lines are only counted as lost.
    void flush();

    /// Number of lines dropped so far.
    std::uint64_t lostLines() const { return m_lostLines; }

private:
    void reportLostLines();

    int m_descriptor;
    std::size_t m_capacity;
    std::string m_buffer;
    std::uint64_t m_lostLines = 0;
    std::uint64_t m_reportedLostLines = 0;
    bool m_isClosed = false;
};

} // namespace cuminrelay
