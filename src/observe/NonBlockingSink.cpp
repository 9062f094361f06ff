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
    m_waiting.reserve(capacity);
    const int flags = fcntl(descriptor, F_GETFL);
    m_isClosed = flags < 0 || fcntl(descriptor, F_SETFL, flags | O_NONBLOCK) < 0;
}

void NonBlockingSink::write(std::string_view line)
{
    if (!m_isClosed && m_waiting.size() + line.size() <= m_capacity)
        m_waiting += line;
    else
        ++m_lost;
}

void NonBlockingSink::flush()
{
    while (!m_waiting.empty() && !m_isClosed) {
        const ssize_t written = ::write(m_descriptor, m_waiting.data(), m_waiting.size());
        if (written >= 0) {
            m_waiting.erase(0, static_cast<std::size_t>(written));
        } else if (errno != EINTR) {
            m_isClosed = errno != EAGAIN && errno != EWOULDBLOCK;
            return;
        }
    }
    reportLost();
}

void NonBlockingSink::reportLost()
{
    if (m_lost == m_reportedLost || m_isClosed)
        return;
    m_waiting += fmt::format(R"({{"level":"warning","slice":"observe","event":"log_lines_lost","lines":{}}})"
                             "\n",
        m_lost - m_reportedLost);
    m_reportedLost = m_lost;
}

} // namespace cuminrelay
