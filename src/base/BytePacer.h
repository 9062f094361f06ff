#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace cuminrelay {

/// Keeps what is sent under a budget of bytes a second. A message may start whenever the bytes of those before it are
/// paid off; it is never split.
class BytePacer {
public:
    explicit BytePacer(std::uint64_t bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    bool mayStart(Instant now) const { return now >= m_paidOffAt; }

    /// Notes that a message of this size started.
    void charge(std::size_t bytes, Instant now);

private:
    std::uint64_t m_bytesPerSecond;
    Deadline m_paidOffAt {};
};

} // namespace cuminrelay
