#include "base/Time.h"

#include <ctime>

namespace cuminrelay {

Instant SystemClock::now() const
{
    const std::chrono::steady_clock::duration sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant { std::chrono::duration_cast<Duration>(sinceEpoch) };
}

Instant BootClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant { std::chrono::duration_cast<Duration>(
        std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec }) };
}

} // namespace cuminrelay
