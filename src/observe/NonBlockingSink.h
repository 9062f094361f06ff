#pragma once

#include "observe/LogSink.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cuminrelay {

/// Gathers lines and writes them to a descriptor that is never waited for. When the reader does not keep up and the
/// buffer is full, whole lines are left out; a line that says how many follows as soon as there is room. One thread.
class NonBlockingSink final : public LogSink {
public:
    /// Puts the descriptor into non-blocking mode. capacity: bytes that may wait.
    NonBlockingSink(int descriptor, std::size_t capacity);

    void write(std::string_view line) override;

    /// Writes what the descriptor takes now; call it regularly. After an error that is not "full" nothing is written
    /// any more, and lines are only counted.
    void flush();

    /// Lines that were left out so far.
    std::uint64_t lost() const { return m_lost; }

private:
    void reportLost();

    int m_descriptor;
    std::size_t m_capacity;
    std::string m_waiting;
    std::uint64_t m_lost = 0;
    std::uint64_t m_reportedLost = 0;
    bool m_isClosed = false;
};

} // namespace cuminrelay
