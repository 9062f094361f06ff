#include "base/BytePacer.h"

#include <algorithm>

namespace cuminrelay {

namespace {

    constexpr std::uint64_t c_microsecondsPerSecond = 1'000'000;

} // namespace

void BytePacer::charge(std::size_t bytes, Instant now)
{
    const std::uint64_t microseconds = bytes * c_microsecondsPerSecond / m_bytesPerSecond;
    m_nextSendTime = std::max(m_nextSendTime, now) + Duration { static_cast<std::int64_t>(microseconds) };
}

} // namespace cuminrelay
