#include "base/Time.h"

namespace cuminrelay {

Instant SystemClock::now() const
{
    const std::chrono::steady_clock::duration sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant { std::chrono::duration_cast<Duration>(sinceEpoch) };
}

} // namespace cuminrelay
