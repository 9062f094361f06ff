#include "affinity/FlowLocator.h"

#include "affinity/FlowSequence.h"

#include <utility>

namespace cuminrelay {

namespace {

    /// Less than the 200 ms after which callers retransmit.
    constexpr Duration c_questionInterval = std::chrono::milliseconds { 150 };

} // namespace

FlowLocator::FlowLocator(const BackendCatalog& backends, ContestedFlows& contestedFlows)
    : m_backends(backends)
    , m_contestedFlows(contestedFlows)
{
}

BackendToken FlowLocator::locate(const PacketSummary& packet, FlowHash hash, const TrackedFlow* record, Instant now)
{
    const CarriedToken carried = CarriedToken::decode(packet.m_carriedToken);
    const LocatedFlow* const remembered = record ? nullptr : m_locatedFlows.find(hash, packet.m_sequence);
    const ContestedFlow* const contested = contestedFlowOf(packet, hash, record, remembered, now);
    BackendToken located;
    if (carried.m_kind == CarriedToken::Kind::Settled)
        located = { carried.m_backendBits };
    else if (contested && contested->m_backend != BackendToken {})
        located = contested->m_backend;
    else if (record && (record->m_isEstablished || carried.m_kind == CarriedToken::Kind::None))
        located = record->m_backend;
    else if (remembered)
        located = remembered->m_backend;
    else if (carried.isOpening())
        located = locateByOpeningToken(packet, hash, carried, contested, record, now);
    if (contested && located != BackendToken {})
        m_contestedFlows.resolve(hash, located, now);
    if (located == BackendToken {} && carried.isOpening())
        ask(hash, now);
    return located;
}

/// The record of a packet's flow as a contested one. That of an earlier flow with the same addresses and ports is left
/// out if the sequence numbers tell.
const ContestedFlow* FlowLocator::contestedFlowOf(
    const PacketSummary& packet, FlowHash hash, const TrackedFlow* record, const LocatedFlow* located, Instant now)
{
    const ContestedFlow* const contested = m_contestedFlows.find(hash, packet.m_sequence, now);
    if (!contested)
        return nullptr;
    const bool isOfOtherRecord
        = record && record->wasOpenedHere() && record->m_openingSequence != contested->m_openingSequence;
    const bool isOfOtherLocated
        = located && located->m_wasOpenedHere && located->m_openingSequence != contested->m_openingSequence;
    return isOfOtherRecord || isOfOtherLocated ? nullptr : contested;
}

BackendToken FlowLocator::locateByOpeningToken(const PacketSummary& packet, FlowHash hash, const CarriedToken& carried,
    const ContestedFlow* contested, const TrackedFlow* record, Instant now)
{
    const BackendToken named = backendNamedBy(carried, record);
    if (contested)
        return isFirstAfterOpening(contested->m_openingSequence, packet.m_sequence) ? named : BackendToken {};
    if (!record || !record->wasOpenedHere())
        return isTrusted(carried, hash, now) ? named : BackendToken {};
    const bool isOfOpening = named == record->m_backend;
    if (isOfOpening && now < record->m_uncopiedUntil)
        return named;
    if (!isFirstAfterOpening(record->m_openingSequence, packet.m_sequence))
        return {};
    // Another VM chose another backend server for a copy, and that one's answer opened the flow.
    if (!isOfOpening && named != BackendToken {} && m_contestedFlows.add(hash, record->m_openingSequence, now))
        m_contestedFlows.resolve(hash, named, now);
    return named;
}

/// Returns the token of the backend server that a carried token names; 0: none, or it may be one of several. Cost:
/// O(1), O(backend servers) for the opening token of a flow that is not of the record's backend server.
BackendToken FlowLocator::backendNamedBy(const CarriedToken& carried, const TrackedFlow* record) const
{
    if (record && carried.mayName(record->m_backend))
        return record->m_backend;
    BackendToken named;
    bool isAmbiguous = false;
    m_backends.forEach([&](const TrackedBackend& backend) {
        if (!carried.mayName(backend.m_token))
            return;
        isAmbiguous = named != BackendToken {};
        named = backend.m_token;
    });
    return isAmbiguous ? BackendToken {} : named;
}

/// Whether the token of a flow without a record says where it is open. The token of a copy does not: the flow is
/// contested, and what this VM does not know of it was lost with the processes of other VMs. Nor does that of an
/// opening which the records of contested flows do not reach back to, or that may be of an earlier flow: backend
/// servers repeat their answers for seconds, while callers send the first packet after the opening at once.
bool FlowLocator::isTrusted(const CarriedToken& carried, FlowHash hash, Instant now) const
{
    if (carried.m_kind != CarriedToken::Kind::Opening || carried.minAge(timeOfDay(now)) > Duration::zero())
        return false;
    const Instant knownSince = m_contestedFlows.knownSince();
    const std::optional<ContestedFlowReport> earlier = m_contestedFlows.report(hash, now);
    return knownSince <= now && (!earlier || earlier->m_age > 2 * CarriedToken::s_maxAgeError);
}

void FlowLocator::apply(const ContestedFlowReport& found, const TrackedFlow* record, Instant now)
{
    m_contestedFlows.apply(found, now);
    const FlowHash hash = found.m_content.m_flow;
    const std::optional<ContestedFlowReport> known = m_contestedFlows.report(hash, now);
    const std::optional<LocatedFlow> located = lastLocated(hash, record);
    const bool isLocated = known && located && located->m_wasOpenedHere && located->mayBe(known->m_content);
    if (isLocated && known->m_content.m_backend == BackendToken {})
        m_contestedFlows.resolve(hash, located->m_backend, now);
}

std::optional<ContestedFlowReport> FlowLocator::answer(FlowHash hash, const TrackedFlow* record, Instant now)
{
    const std::optional<ContestedFlowReport> known = m_contestedFlows.report(hash, now);
    std::optional<LocatedFlow> located = lastLocated(hash, record);
    if (!located) {
        // Its opening sequence tells the other VM which packet is the first one.
        if (!known && record)
            m_contestedFlows.add(hash, record->m_openingSequence, record->m_recordedAt, now);
    } else if (!known || (!located->mayBe(known->m_content) && located->m_recordedAt > now - known->m_age)) {
        recordFound(hash, *located, now);
    } else if (located->mayBe(known->m_content) && known->m_content.m_backend == BackendToken {}) {
        m_contestedFlows.resolve(hash, located->m_backend, now);
    }
    return m_contestedFlows.report(hash, now);
}

void FlowLocator::recordRemoved(const TrackedFlow& record, Instant now)
{
    const std::optional<LocatedFlow> located = LocatedFlow::of(record);
    if (located)
        m_locatedFlows.record(hashFlow(record.m_key), *located, now);
}

/// Where the flow is open that last had some addresses and ports here; nullopt: unknown.
std::optional<LocatedFlow> FlowLocator::lastLocated(FlowHash hash, const TrackedFlow* record) const
{
    if (record)
        return LocatedFlow::of(*record);
    const LocatedFlow* const located = m_locatedFlows.findLast(hash);
    return located ? std::optional { *located } : std::nullopt;
}

/// Records that a flow is contested, and open at the backend server that its packets went to from here.
void FlowLocator::recordFound(FlowHash hash, const LocatedFlow& located, Instant now)
{
    if (m_contestedFlows.add(hash, located.m_openingSequence, located.m_recordedAt, now))
        m_contestedFlows.resolve(hash, located.m_backend, now);
}

void FlowLocator::ask(FlowHash hash, Instant now)
{
    const auto found = m_nextQuestionAt.find(hash.m_value);
    if (found == m_nextQuestionAt.end() ? m_nextQuestionAt.size() >= s_maxQuestions : now < found->second)
        return;
    m_nextQuestionAt[hash.m_value] = now + c_questionInterval;
    m_questions.push_back(hash);
}

std::vector<FlowHash> FlowLocator::takeQuestions()
{
    return std::exchange(m_questions, {});
}

std::uint32_t FlowLocator::openingToken(
    BackendToken backend, FlowHash hash, std::uint32_t openingSequence, Instant now) const
{
    return CarriedToken::encodeOpening(backend, m_contestedFlows.contains(hash, openingSequence), timeOfDay(now));
}

void FlowLocator::setTimeOfDay(Duration sinceUnixEpoch, Instant now)
{
    m_timeOfDayOffset = sinceUnixEpoch - now.time_since_epoch();
}

void FlowLocator::sweep(Instant now)
{
    erase_if(m_nextQuestionAt, [now](const auto& question) { return now >= question.second; });
    m_locatedFlows.sweep(now);
}

} // namespace cuminrelay
