#include "affinity/PendingResets.h"

namespace cuminrelay {

namespace {

    /// Callers retransmit at intervals of up to 1.6 s.
    constexpr Duration c_idleTimeout = std::chrono::seconds { 4 };

} // namespace

bool PendingResets::mayReset(FlowHash flow, Instant confirmedAt, Instant now)
{
    const auto found = m_flows.find(flow.m_value);
    if (found == m_flows.end()) {
        if (m_flows.size() < s_maxFlows)
            m_flows.emplace(flow.m_value, PendingReset { now, now });
        else
            ++m_refused;
        return false;
    }
    found->second.m_lastSeenAt = now;
    return confirmedAt > found->second.m_firstSeenAt;
}

void PendingResets::permit(FlowHash flow, Instant now)
{
    if (m_flows.size() < s_maxFlows)
        m_flows.insert_or_assign(flow.m_value, PendingReset { Instant::min(), now });
    else
        ++m_refused;
}

void PendingResets::sweep(Instant now)
{
    erase_if(m_flows, [now](const auto& entry) { return now - entry.second.m_lastSeenAt > c_idleTimeout; });
}

} // namespace cuminrelay
