#include "affinity/LocatedFlows.h"

#include "affinity/BackendCatalog.h"
#include "affinity/FlowSequence.h"

namespace cuminrelay {

bool LocatedFlow::mayBe(const ContestedFlow& contested) const
{
    if (m_wasOpenedHere)
        return m_openingSequence == contested.m_openingSequence;
    return isInFlow(contested.m_openingSequence - c_maxBytesInFlight, m_openingSequence);
}

std::optional<LocatedFlow> LocatedFlow::of(const TrackedFlow& record)
{
    if (!record.m_isEstablished)
        return std::nullopt;
    return LocatedFlow { record.m_openingSequence, record.wasOpenedHere(), record.m_backend, record.m_recordedAt };
}

void LocatedFlows::record(FlowHash flow, const LocatedFlow& located, Instant now)
{
    const auto found = m_flows.find(flow.m_value);
    if (found == m_flows.end() && m_flows.size() >= s_maxFlows)
        return;
    m_flows.insert_or_assign(flow.m_value, Entry { located, now + c_departedRetention });
}

const LocatedFlow* LocatedFlows::find(FlowHash flow, std::uint32_t sequence) const
{
    const LocatedFlow* const found = findLast(flow);
    return found && isInFlow(found->m_openingSequence, sequence) ? found : nullptr;
}

const LocatedFlow* LocatedFlows::findLast(FlowHash flow) const
{
    const auto found = m_flows.find(flow.m_value);
    return found != m_flows.end() ? &found->second.m_located : nullptr;
}

void LocatedFlows::sweep(Instant now)
{
    erase_if(m_flows, [now](const auto& entry) { return now >= entry.second.m_expiresAt; });
}

} // namespace cuminrelay
