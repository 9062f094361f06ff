#include "affinity/ContestedFlows.h"

#include "affinity/BackendCatalog.h"
#include "affinity/FlowSequence.h"

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

    /// Longer than the losses of a link that is full for a moment, shorter than the 200 ms after which callers
    /// retransmit.
    constexpr Duration c_noticeRepeatDelay = std::chrono::milliseconds { 50 };

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

bool ContestedFlows::add(FlowHash flow, std::uint32_t openingSequence, Instant openedAt, Instant now)
{
    Entry* const entry = insert({ flow, openingSequence, {} }, openedAt, now);
    if (!entry)
        return false;
    if (entry->m_content.m_openingSequence != openingSequence)
        *entry = { { flow, openingSequence, {} }, openedAt, entry->m_isOwn };
    recordOwnChange(*entry, now);
    return true;
}

bool ContestedFlows::contains(FlowHash flow, std::uint32_t openingSequence) const
{
    const auto found = m_flows.find(flow.m_value);
    return found != m_flows.end() && found->second.m_content.m_openingSequence == openingSequence;
}

const ContestedFlow* ContestedFlows::find(FlowHash flow, std::uint32_t sequence, Instant now) const
{
    const auto found = m_flows.find(flow.m_value);
    if (found == m_flows.end() || now - found->second.m_recordedAt >= c_retention)
        return nullptr;
    const ContestedFlow& content = found->second.m_content;
    return isInFlow(content.m_openingSequence, sequence) ? &content : nullptr;
}

std::optional<ContestedFlowReport> ContestedFlows::report(FlowHash flow, Instant now) const
{
    const auto found = m_flows.find(flow.m_value);
    if (found == m_flows.end() || now - found->second.m_recordedAt >= c_retention)
        return std::nullopt;
    return reportOf(found->second.m_content, found->second.m_recordedAt, now);
}

void ContestedFlows::resolve(FlowHash flow, BackendToken backend, Instant now)
{
    const auto found = m_flows.find(flow.m_value);
    if (found == m_flows.end() || found->second.m_content.m_backend == backend)
        return;
    found->second.m_content.m_backend = backend;
    recordOwnChange(found->second, now);
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

void ContestedFlows::recordOwnChange(Entry& entry, Instant now)
{
    if (!std::exchange(entry.m_isOwn, true))
        m_own.push_back(entry.m_content.m_flow.m_value);
    recordChange(entry.m_content.m_flow);
    addNotice(entry.m_content.m_flow.m_value, now);
}

void ContestedFlows::addNotice(std::uint64_t flow, Instant now)
{
    m_nextNoticeAt = now;
    const auto found = std::ranges::find(m_notices, flow, &Notice::m_flow);
    if (found != m_notices.end())
        *found = { flow, now, false };
    else
        m_notices.push_back({ flow, now, false });
}

void ContestedFlows::recordChange(FlowHash flow)
{
    if (m_changed.size() < s_maxChanges && std::ranges::find(m_changed, flow.m_value) == m_changed.end())
        m_changed.push_back(flow.m_value);
}

std::vector<ContestedFlowReport> ContestedFlows::takeNotices(Instant now)
{
    std::vector<ContestedFlowReport> flows;
    if (!hasNotices(now))
        return flows;
    m_nextNoticeAt = Instant::max();
    std::erase_if(m_notices, [&](Notice& notice) {
        const bool isDue = now >= notice.m_dueAt;
        if (isDue) {
            append(notice.m_flow, now, flows);
            notice.m_dueAt = now + c_noticeRepeatDelay;
        }
        const bool isDone = isDue && std::exchange(notice.m_isRepetition, true);
        if (!isDone)
            m_nextNoticeAt = std::min(m_nextNoticeAt, notice.m_dueAt);
        return isDone;
    });
    return flows;
}

std::vector<ContestedFlowReport> ContestedFlows::latestOwn(std::size_t count, Instant now) const
{
    std::vector<ContestedFlowReport> flows;
    for (const std::uint64_t flow : std::span { m_own }.last(std::min(count, m_own.size())))
        append(flow, now, flows);
    return flows;
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
