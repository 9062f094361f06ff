#include "affinity/ContestedFlows.h"

#include "affinity/BackendCatalog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminrelay {

void ContestedFlows::add(FlowHash flow, std::uint32_t openingSequence, Instant now)
{
    removeIfReused(flow, openingSequence);
    if (Entry* const entry = insert({ flow, openingSequence, {} }, now))
        recordOwnChange(*entry);
}

void ContestedFlows::removeIfReused(FlowHash flow, std::uint32_t openingSequence)
{
    const auto found = m_flows.find(flow.m_value);
    if (found != m_flows.end() && found->second.m_content.m_openingSequence != openingSequence)
        m_flows.erase(found);
}

BackendToken ContestedFlows::resolve(FlowHash flow, BackendToken carried, Instant now)
{
    const auto found = m_flows.find(flow.m_value);
    if (found == m_flows.end() || now >= found->second.m_expiresAt)
        return {};
    Entry& entry = found->second;
    if (entry.m_content.m_backend == BackendToken {} && carried != BackendToken {}) {
        entry.m_content.m_backend = carried;
        recordOwnChange(entry);
    }
    return entry.m_content.m_backend;
}

void ContestedFlows::apply(const ContestedFlow& found, Instant now)
{
    const bool isNew = !m_flows.contains(found.m_flow.m_value);
    Entry* const entry = insert(found, now);
    if (!entry)
        return;
    const bool isOther = entry->m_content.m_openingSequence != found.m_openingSequence;
    if (isOther && entry->m_isOwn)
        return;
    const bool isResolved = entry->m_content.m_backend == BackendToken {} && found.m_backend != BackendToken {};
    if (isOther || isResolved)
        entry->m_content = found;
    if (isNew || isOther || isResolved)
        recordChange(found.m_flow);
}

ContestedFlows::Entry* ContestedFlows::insert(const ContestedFlow& flow, Instant now)
{
    const auto found = m_flows.find(flow.m_flow.m_value);
    if (found != m_flows.end())
        return &found->second;
    if (m_flows.size() >= s_maxFlows) {
        ++m_refused;
        return nullptr;
    }
    const Entry entry { flow, now + c_departedRetention, false };
    return &m_flows.emplace(flow.m_flow.m_value, entry).first->second;
}

void ContestedFlows::recordOwnChange(Entry& entry)
{
    if (!std::exchange(entry.m_isOwn, true))
        m_own.push_back(entry.m_content.m_flow.m_value);
    recordChange(entry.m_content.m_flow);
}

void ContestedFlows::recordChange(FlowHash flow)
{
    if (m_changed.size() < s_maxChanges && std::ranges::find(m_changed, flow.m_value) == m_changed.end())
        m_changed.push_back(flow.m_value);
}

std::vector<ContestedFlow> ContestedFlows::takeForMessage(std::size_t count)
{
    std::vector<ContestedFlow> flows;
    const std::size_t changes = std::min(count, m_changed.size());
    for (std::size_t i = 0; i < changes; ++i)
        append(m_changed[i], flows);
    m_changed.erase(m_changed.begin(), m_changed.begin() + static_cast<std::ptrdiff_t>(changes));
    std::vector<std::uint64_t> repeated;
    std::ranges::sample(
        m_own, std::back_inserter(repeated), static_cast<std::ptrdiff_t>(count - flows.size()), m_random);
    for (const std::uint64_t hash : repeated)
        append(hash, flows);
    return flows;
}

void ContestedFlows::append(std::uint64_t hash, std::vector<ContestedFlow>& flows) const
{
    const auto found = m_flows.find(hash);
    if (found != m_flows.end())
        flows.push_back(found->second.m_content);
}

void ContestedFlows::sweep(Instant now)
{
    erase_if(m_flows, [now](const auto& entry) { return now >= entry.second.m_expiresAt; });
    std::erase_if(m_own, [this](std::uint64_t hash) {
        const auto found = m_flows.find(hash);
        return found == m_flows.end() || !found->second.m_isOwn;
    });
}

} // namespace cuminrelay
