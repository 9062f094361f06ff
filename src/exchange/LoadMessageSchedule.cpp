#include "exchange/LoadMessageSchedule.h"

#include <algorithm>

namespace cuminrelay {

bool LoadMessageSchedule::isDue(std::span<const BackendLoadReport> loads, std::span<const BackendToken> dead,
    bool hasContestedFlows, Instant now) const
{
    if (!std::equal(dead.begin(), dead.end(), m_dead.begin(), m_dead.end()))
        return true;
    const bool hasChanged = !std::equal(loads.begin(), loads.end(), m_loads.begin(), m_loads.end());
    return ((hasChanged || hasContestedFlows) && m_pacer.maySend(now)) || now >= m_repeatAt;
}

void LoadMessageSchedule::recordLoadMessage(std::span<const BackendLoadReport> loads,
    std::span<const BackendToken> dead, std::size_t bytes, Instant now, Deadline repeatAt)
{
    m_loads.assign(loads.begin(), loads.end());
    m_dead.assign(dead.begin(), dead.end());
    m_repeatAt = repeatAt;
    m_pacer.charge(bytes, now);
}

} // namespace cuminrelay
