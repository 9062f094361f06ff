#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace cuminrelay {

/// Limits sending to a rate in bytes per second. A message may start once the time that the previous messages take at
/// this rate has passed. Messages are never split, so the rate may be exceeded by one message.
class BytePacer {
public:
    explicit BytePacer(std::uint64_t bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    bool maySend(Instant now) const { return now >= m_nextSendTime; }

    /// Records a message that starts now.
    void charge(std::size_t bytes, Instant now);

private:
    std::uint64_t m_bytesPerSecond;
    Deadline m_nextSendTime {};
};

} // namespace cuminrelay
