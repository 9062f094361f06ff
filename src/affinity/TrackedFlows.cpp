#include "affinity/TrackedFlows.h"

#include "base/Assert.h"

#include <utility>

namespace cuminrelay {

namespace {

    /// A long flow that is idle for longer may have moved to another entry VM, which counts it too.
    constexpr Duration c_longFlowIdleTimeout = std::chrono::seconds { 3 };

    /// Callers retransmit at intervals of up to 1.6 s; a flow that is idle for longer no longer passes this VM.
    constexpr Duration c_shortFlowIdleTimeout = std::chrono::milliseconds { 2'000 };

    /// A longer request counts as ended: the acknowledgment of a flow's last answer may be missing.
    constexpr Duration c_maxRequestDuration = std::chrono::milliseconds { 1'000 };

    /// Less than the 200 ms after which callers send an opening packet again.
    constexpr Duration c_uncopiedTime = std::chrono::milliseconds { 150 };

    /// Whether sequence number left follows right, modulo 2^32.
    bool isAfter(std::uint32_t left, std::uint32_t right)
    {
        return static_cast<std::int32_t>(left - right) > 0;
    }

} // namespace

TrackedFlows::TrackedFlows(BackendCatalog& catalog, std::size_t limit)
    : m_catalog(catalog)
    , m_limit(limit)
{
}

TrackedFlow* TrackedFlows::find(FlowHash hash)
{
    const auto found = m_flows.find(hash.m_value);
    return found != m_flows.end() ? &found->second : nullptr;
}

TrackedFlow* TrackedFlows::open(FlowHash hash, const FlowKey& key, BackendToken backend, bool isLong, Instant now)
{
    TrackedFlow* const flow = insert(hash, key, backend, isLong, now);
    if (!flow)
        return nullptr;
    flow->m_openedAt = now;
    // Counts the request now, because it follows at once; other flows then avoid the backend server.
    setActive(*flow, true, now);
    return flow;
}

TrackedFlow* TrackedFlows::adopt(
    FlowHash hash, const PacketSummary& packet, BackendToken backend, bool isLong, Instant now)
{
    TrackedFlow* const flow = insert(hash, packet.m_flow, backend, isLong, now);
    if (!flow)
        return nullptr;
    flow->m_isEstablished = true;
    flow->m_openingSequence = packet.m_sequence - c_maxBytesInFlight;
    return flow;
}

void TrackedFlows::recordOpening(TrackedFlow& flow, std::uint8_t retransmission, Instant now)
{
    if (retransmission != flow.m_nextCopy)
        return;
    ++flow.m_nextCopy;
    flow.m_uncopiedUntil = now + c_uncopiedTime;
}

TrackedFlow* TrackedFlows::insert(FlowHash hash, const FlowKey& key, BackendToken backend, bool isLong, Instant now)
{
    const auto found = m_flows.find(hash.m_value);
    if (found == m_flows.end() && m_flows.size() >= m_limit)
        return nullptr;
    TrackedFlow& flow = found != m_flows.end() ? found->second : m_flows[hash.m_value];
    release(flow);
    flow = TrackedFlow {};
    flow.m_key = key;
    flow.m_backend = backend;
    flow.m_isLong = isLong;
    flow.m_recordedAt = flow.m_seenAt = now;
    setCounted(flow, isLong);
    return &flow;
}

void TrackedFlows::move(TrackedFlow& flow, BackendToken backend)
{
    const bool active = flow.m_isActive;
    const bool counted = flow.m_isCounted;
    release(flow);
    flow.m_backend = backend;
    setActive(flow, active, flow.m_activeSince);
    setCounted(flow, counted);
}

FlowObservation TrackedFlows::observe(TrackedFlow& flow, const PacketSummary& packet, Instant now)
{
    FlowObservation observation;
    flow.m_seenAt = now;
    setCounted(flow, flow.m_isLong);
    const bool isFirst = !flow.m_isEstablished || flow.m_acknowledged == 0;
    if (isFirst || isAfter(packet.m_acknowledgment, flow.m_acknowledged)) {
        observation.m_acknowledgesNewData = flow.wasOpenedHere() || flow.m_acknowledged != 0;
        flow.m_acknowledged = packet.m_acknowledgment;
        // The handshake's acknowledgment does not acknowledge an answer.
        if (flow.m_isEstablished) {
            setActive(flow, false, now);
            observation.m_answeredSentAt = std::exchange(flow.m_requestSentAt, Instant {});
            observation.m_loadWhenSent = flow.m_loadWhenSent;
        }
    }
    flow.m_isEstablished = true;
    if (packet.m_payloadBytes == 0)
        return observation;
    const std::uint32_t end = packet.m_sequence + packet.m_payloadBytes;
    if (flow.m_sentUpTo == 0 || isAfter(end, flow.m_sentUpTo)) {
        flow.m_sentUpTo = end;
        setActive(flow, true, now);
        if (flow.m_requestSentAt == Instant {})
            recordSent(flow, now);
    } else {
        observation.m_isRetransmission = true;
    }
    return observation;
}

/// Records the first packet of a request, which counts as active already.
void TrackedFlows::recordSent(TrackedFlow& flow, Instant now)
{
    flow.m_requestSentAt = now;
    const TrackedBackend* const backend = m_catalog.find(flow.m_backend);
    const std::uint32_t active
        = backend ? backend->m_localLoad.m_activeRequests + backend->m_peerLoad.m_activeRequests : 0;
    flow.m_loadWhenSent = active > 0 ? active - 1 : 0;
}

void TrackedFlows::close(FlowHash hash)
{
    const auto found = m_flows.find(hash.m_value);
    if (found == m_flows.end())
        return;
    release(found->second);
    m_flows.erase(found);
}

std::vector<TrackedFlow> TrackedFlows::closeActive(BackendToken backend)
{
    std::vector<TrackedFlow> closed;
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        TrackedFlow& flow = position->second;
        if (flow.m_backend != backend || !flow.m_isActive || !flow.m_isEstablished) {
            ++position;
            continue;
        }
        closed.push_back(flow);
        release(flow);
        m_flows.erase(position++);
    }
    return closed;
}

std::vector<TrackedFlow> TrackedFlows::sweep(Instant now)
{
    std::vector<TrackedFlow> removed;
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        TrackedFlow& flow = position->second;
        if (flow.m_isActive && now - flow.m_activeSince > c_maxRequestDuration)
            setActive(flow, false, now);
        if (now - flow.m_seenAt > (flow.m_isLong ? c_longFlowIdleTimeout : c_shortFlowIdleTimeout)) {
            release(flow);
            removed.push_back(flow);
            m_flows.erase(position++);
        } else {
            ++position;
        }
    }
    return removed;
}

void TrackedFlows::setActive(TrackedFlow& flow, bool active, Instant now)
{
    if (flow.m_isActive == active)
        return;
    flow.m_isActive = active;
    flow.m_activeSince = now;
    TrackedBackend* const backend = m_catalog.find(flow.m_backend);
    if (!backend)
        return;
    if (active)
        ++backend->m_localLoad.m_activeRequests;
    else if (backend->m_localLoad.m_activeRequests > 0) // the backend server may have been removed and announced again
        --backend->m_localLoad.m_activeRequests;
}

void TrackedFlows::setCounted(TrackedFlow& flow, bool counted)
{
    if (flow.m_isCounted == counted)
        return;
    flow.m_isCounted = counted;
    TrackedBackend* const backend = m_catalog.find(flow.m_backend);
    if (!backend)
        return;
    if (counted)
        ++backend->m_localLoad.m_longFlows;
    else if (backend->m_localLoad.m_longFlows > 0)
        --backend->m_localLoad.m_longFlows;
}

void TrackedFlows::release(TrackedFlow& flow)
{
    setActive(flow, false, flow.m_activeSince);
    setCounted(flow, false);
}

} // namespace cuminrelay
