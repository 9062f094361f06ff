#include "observe/NonBlockingSink.h"

#include <cerrno>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace cuminrelay {

NonBlockingSink::NonBlockingSink(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
    m_buffer.reserve(capacity);
    const int flags = fcntl(descriptor, F_GETFL);
    m_isClosed = flags < 0 || fcntl(descriptor, F_SETFL, flags | O_NONBLOCK) < 0;
}

void NonBlockingSink::write(std::string_view line)
{
    if (!m_isClosed && m_buffer.size() + line.size() <= m_capacity)
        m_buffer += line;
    else
        ++m_lostLines;
}

void NonBlockingSink::flush()
{
    while (!m_buffer.empty() && !m_isClosed) {
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written >= 0) {
            m_buffer.erase(0, static_cast<std::size_t>(written));
        } else if (errno != EINTR) {
            m_isClosed = errno != EAGAIN && errno != EWOULDBLOCK;
            return;
        }
    }
    reportLostLines();
}

void NonBlockingSink::reportLostLines()
{
    if (m_lostLines == m_reportedLostLines || m_isClosed)
        return;
    m_buffer += fmt::format(R"({{"level":"warning","slice":"observe","event":"log_lines_lost","lines":{}}})"
                            "\n",
        m_lostLines - m_reportedLostLines);
    m_reportedLostLines = m_lostLines;
}

} // namespace cuminrelay
