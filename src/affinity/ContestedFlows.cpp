#include "affinity/ContestedFlows.h"

#include "affinity/BackendCatalog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminrelay {

namespace {

    /// The maximum lifetime of a flow.
    constexpr Duration c_retention = c_departedRetention;

    /// Flows of other VMs in each message, beside own ones.
    constexpr std::size_t c_repeatedOthers = 1;

    /// Every second of them is one of the latest: the VM that saw it may have ended before all others learned of it.
    constexpr std::size_t c_latestOthers = 16;

    ContestedFlowReport reportOf(const ContestedFlow& flow, Instant recordedAt, Instant now)
    {
        return { flow, std::chrono::ceil<std::chrono::milliseconds>(now - recordedAt) };
    }

} // namespace

ContestedFlows::ContestedFlows(std::uint64_t seed, Instant startedAt)
    : m_knownSince(startedAt)
    , m_random(seed)
{
}

bool ContestedFlows::add(FlowHash flow, std::uint32_t openingSequence, Instant now)
{
    removeIfReused(flow, openingSequence);
    Entry* const entry = insert({ flow, openingSequence, {} }, now, now);
    if (entry)
        recordOwnChange(*entry);
    return entry != nullptr;
}

void ContestedFlows::removeIfReused(FlowHash flow, std::uint32_t openingSequence)
{
    const auto found = m_flows.find(flow.m_value);
    if (found != m_flows.end() && found->second.m_content.m_openingSequence != openingSequence)
        m_flows.erase(found);
}

bool ContestedFlows::contains(FlowHash flow, std::uint32_t openingSequence) const
{
    const auto found = m_flows.find(flow.m_value);
    return found != m_flows.end() && found->second.m_content.m_openingSequence == openingSequence;
}

BackendToken ContestedFlows::resolve(
    FlowHash flow, std::optional<std::uint32_t> openingSequence, BackendToken carried, Instant now)
{
    const auto found = m_flows.find(flow.m_value);
    if (found == m_flows.end() || now - found->second.m_recordedAt >= c_retention)
        return {};
    Entry& entry = found->second;
    if (openingSequence && *openingSequence != entry.m_content.m_openingSequence)
        return {};
    if (entry.m_content.m_backend == BackendToken {} && carried != BackendToken {}) {
        entry.m_content.m_backend = carried;
        recordOwnChange(entry);
    }
    return entry.m_content.m_backend;
}

void ContestedFlows::apply(const ContestedFlowReport& found, Instant now)
{
    if (merge(found, now))
        recordChange(found.m_content.m_flow);
}

void ContestedFlows::restore(std::span<const ContestedFlowReport> found, Instant knownSince, Instant now)
{
    m_knownSince = std::min(m_knownSince, knownSince);
    for (const ContestedFlowReport& report : found)
        merge(report, now);
}

std::chrono::milliseconds ContestedFlows::knownFor(Instant now) const
{
    return std::chrono::floor<std::chrono::milliseconds>(std::min(now - m_knownSince, c_retention));
}

bool ContestedFlows::merge(const ContestedFlowReport& found, Instant now)
{
    if (found.m_age >= c_retention)
        return false;
    const Instant recordedAt = now - found.m_age;
    const bool isNew = !m_flows.contains(found.m_content.m_flow.m_value);
    Entry* const entry = insert(found.m_content, recordedAt, now);
    if (!entry)
        return false;
    if (isNew) {
        m_others.push_back(found.m_content.m_flow.m_value);
        return true;
    }
    if (entry->m_content.m_openingSequence != found.m_content.m_openingSequence) {
        if (recordedAt <= entry->m_recordedAt)
            return false;
        *entry = { found.m_content, recordedAt, false };
        m_others.push_back(found.m_content.m_flow.m_value);
        return true;
    }
    // The time of the record stays: taking over that of another VM, rounded, again and again would shift it.
    const bool isResolved
        = entry->m_content.m_backend == BackendToken {} && found.m_content.m_backend != BackendToken {};
    if (isResolved)
        entry->m_content.m_backend = found.m_content.m_backend;
    return isResolved;
}

ContestedFlows::Entry* ContestedFlows::insert(const ContestedFlow& flow, Instant recordedAt, Instant now)
{
    const auto found = m_flows.find(flow.m_flow.m_value);
    if (found != m_flows.end())
        return &found->second;
    if (m_flows.size() >= s_maxFlows) {
        ++m_refused;
        m_knownSince = now;
        return nullptr;
    }
    return &m_flows.emplace(flow.m_flow.m_value, Entry { flow, recordedAt, false }).first->second;
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

std::vector<ContestedFlowReport> ContestedFlows::takeForMessage(std::size_t count, Instant now)
{
    std::vector<ContestedFlowReport> flows;
    const std::size_t changes = std::min(count, m_changed.size());
    for (std::size_t i = 0; i < changes; ++i)
        append(m_changed[i], now, flows);
    m_changed.erase(m_changed.begin(), m_changed.begin() + static_cast<std::ptrdiff_t>(changes));
    const std::size_t others = std::min(c_repeatedOthers, count - flows.size());
    m_repeatsLatest = !m_repeatsLatest;
    const std::size_t latest = m_repeatsLatest ? std::min(c_latestOthers, m_others.size()) : m_others.size();
    appendSample(std::span { m_others }.last(latest), others, now, flows);
    appendSample(m_own, count - flows.size(), now, flows);
    return flows;
}

std::vector<ContestedFlowReport> ContestedFlows::reports(Instant now) const
{
    std::vector<ContestedFlowReport> all;
    all.reserve(m_flows.size());
    for (const auto& [hash, entry] : m_flows)
        all.push_back(reportOf(entry.m_content, entry.m_recordedAt, now));
    return all;
}

void ContestedFlows::appendSample(
    std::span<const std::uint64_t> hashes, std::size_t count, Instant now, std::vector<ContestedFlowReport>& reports)
{
    std::vector<std::uint64_t> sampled;
    std::ranges::sample(hashes, std::back_inserter(sampled), static_cast<std::ptrdiff_t>(count), m_random);
    for (const std::uint64_t hash : sampled)
        append(hash, now, reports);
}

void ContestedFlows::append(std::uint64_t hash, Instant now, std::vector<ContestedFlowReport>& reports) const
{
    const auto found = m_flows.find(hash);
    if (found != m_flows.end() && now - found->second.m_recordedAt < c_retention)
        reports.push_back(reportOf(found->second.m_content, found->second.m_recordedAt, now));
}

void ContestedFlows::sweep(Instant now)
{
    erase_if(m_flows, [now](const auto& entry) { return now - entry.second.m_recordedAt >= c_retention; });
    std::erase_if(m_own, [this](std::uint64_t hash) {
        const auto found = m_flows.find(hash);
        return found == m_flows.end() || !found->second.m_isOwn;
    });
    std::erase_if(m_others, [this](std::uint64_t hash) {
        const auto found = m_flows.find(hash);
        return found == m_flows.end() || found->second.m_isOwn;
    });
}

} // namespace cuminrelay
