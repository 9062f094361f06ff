#include "standins/TcpConnection.h"

#include <algorithm>
#include <utility>

namespace cuminrelay::standins {

namespace {

    constexpr std::size_t c_segmentBytes = 1200;
    constexpr std::uint64_t c_windowBytes = 48 * c_segmentBytes;
    constexpr Duration c_initialRetransmissionTimeout = std::chrono::milliseconds { 200 };
    constexpr Duration c_maxRetransmissionTimeout = std::chrono::seconds { 1 };
    constexpr unsigned c_maxConsecutiveTimeouts = 12;
    constexpr unsigned c_fastRetransmitDuplicates = 3;
    constexpr std::uint64_t c_sequenceSpace = std::uint64_t { 1 } << 32;

} // namespace

std::uint32_t Segment::length() const
{
    return static_cast<std::uint32_t>(m_payload.size()) + (m_syn ? 1 : 0) + (m_fin ? 1 : 0);
}

Segment resetFor(const Segment& segment)
{
    Segment reset;
    reset.m_reset = true;
    if (segment.m_ack) {
        reset.m_sequence = segment.m_acknowledgment;
        return reset;
    }
    reset.m_ack = true;
    reset.m_acknowledgment = segment.m_sequence + segment.length();
    return reset;
}

TcpConnection::TcpConnection(std::uint32_t initialSequence)
    : m_initialPosition(c_sequenceSpace + initialSequence)
    , m_unacknowledged(m_initialPosition)
    , m_nextToSend(m_initialPosition)
    , m_outgoingStart(m_initialPosition + 1)
{
}

TcpConnection TcpConnection::active(std::uint32_t initialSequence)
{
    return TcpConnection { initialSequence };
}

TcpConnection TcpConnection::passive(std::uint32_t initialSequence, const Segment& syn)
{
    TcpConnection connection { initialSequence };
    connection.m_passive = true;
    connection.m_peerSynReceived = true;
    connection.m_nextExpected = c_sequenceSpace + syn.m_sequence + 1;
    return connection;
}

std::uint64_t TcpConnection::unwrap(std::uint32_t sequence, std::uint64_t reference) const
{
    const std::int32_t distance = static_cast<std::int32_t>(sequence - static_cast<std::uint32_t>(reference));
    return reference + static_cast<std::uint64_t>(static_cast<std::int64_t>(distance));
}

std::uint64_t TcpConnection::endOfStream() const
{
    return m_outgoingStart + m_outgoing.size();
}

void TcpConnection::write(std::string_view bytes)
{
    m_outgoing += bytes;
}

void TcpConnection::receive(const Segment& segment, Instant now)
{
    if (m_state == TcpState::Reset || m_state == TcpState::TimedOut)
        return;
    if (segment.m_reset) {
        const bool answersSyn = !m_peerSynReceived && segment.m_ack
            && segment.m_acknowledgment == static_cast<std::uint32_t>(m_initialPosition + 1);
        const std::uint64_t position = unwrap(segment.m_sequence, m_nextExpected);
        const bool inWindow
            = m_peerSynReceived && position >= m_nextExpected && position < m_nextExpected + c_windowBytes;
        if (answersSyn || inWindow)
            m_state = TcpState::Reset;
        return;
    }
    if (isOldDuplicate(segment)) {
        m_pendingReset = resetFor(segment);
        return;
    }
    if (segment.m_syn) {
        if (!m_peerSynReceived && segment.m_ack) {
            m_peerSynReceived = true;
            m_nextExpected = c_sequenceSpace + segment.m_sequence + 1;
        } else if (m_state == TcpState::Opening && m_passive) {
            m_retransmitNow = true;
        }
        m_acknowledgeNow = true;
    }
    if (!m_peerSynReceived)
        return;
    const std::uint64_t before = m_unacknowledged;
    if (segment.m_ack)
        applyAcknowledgment(segment);
    applyPayload(segment);
    closeWhenDone();
    if (m_unacknowledged == m_nextToSend)
        m_retransmitAt = Deadline::max();
    else if (m_unacknowledged > before)
        m_retransmitAt = now + c_initialRetransmissionTimeout;
}

bool TcpConnection::isOldDuplicate(const Segment& segment) const
{
    // RFC 9293, 3.10.7.4: until its SYN is acknowledged, a passive end rejects any other acknowledgment.
    return m_passive && m_state == TcpState::Opening && segment.m_ack
        && segment.m_acknowledgment != static_cast<std::uint32_t>(m_initialPosition + 1);
}

void TcpConnection::applyAcknowledgment(const Segment& segment)
{
    const std::uint64_t acknowledged = unwrap(segment.m_acknowledgment, m_unacknowledged);
    const std::uint64_t highest = endOfStream() + (m_finishing ? 1 : 0);
    if (acknowledged > highest)
        return;
    if (acknowledged <= m_unacknowledged) {
        const bool duplicate
            = acknowledged == m_unacknowledged && segment.length() == 0 && m_nextToSend > m_unacknowledged;
        if (duplicate && ++m_duplicateAcknowledgments == c_fastRetransmitDuplicates)
            m_retransmitNow = true;
        return;
    }
    m_unacknowledged = acknowledged;
    m_nextToSend = std::max(m_nextToSend, acknowledged);
    m_consecutiveTimeouts = 0;
    m_duplicateAcknowledgments = 0;
    if (acknowledged > m_outgoingStart) {
        const std::uint64_t bytes = std::min<std::uint64_t>(acknowledged - m_outgoingStart, m_outgoing.size());
        m_outgoing.erase(0, bytes);
        m_outgoingStart += bytes;
    }
    if (m_state == TcpState::Opening)
        m_state = TcpState::Established;
}

void TcpConnection::applyPayload(const Segment& segment)
{
    const std::uint64_t position = unwrap(segment.m_sequence, m_nextExpected) + (segment.m_syn ? 1 : 0);
    if (segment.m_fin)
        m_peerFinPosition = position + segment.m_payload.size();
    if (!segment.m_payload.empty() && position <= m_nextExpected + c_windowBytes) {
        std::string& stored = m_outOfOrder[position];
        if (segment.m_payload.size() > stored.size())
            stored = segment.m_payload;
    }
    if (segment.m_fin || !segment.m_payload.empty())
        m_acknowledgeNow = true;
    acceptInOrder();
}

void TcpConnection::acceptInOrder()
{
    while (!m_outOfOrder.empty() && m_outOfOrder.begin()->first <= m_nextExpected) {
        const std::uint64_t received = m_nextExpected - m_outOfOrder.begin()->first;
        const std::string& payload = m_outOfOrder.begin()->second;
        if (received < payload.size()) {
            m_readable += std::string_view { payload }.substr(received);
            m_nextExpected += payload.size() - received;
        }
        m_outOfOrder.erase(m_outOfOrder.begin());
    }
    if (!m_peerFinished && m_peerFinPosition != 0 && m_peerFinPosition == m_nextExpected) {
        ++m_nextExpected;
        m_peerFinished = true;
    }
}

void TcpConnection::closeWhenDone()
{
    if (m_peerFinished && m_finishing && m_unacknowledged == endOfStream() + 1)
        m_state = TcpState::Closed;
}

Segment TcpConnection::segmentAt(std::uint64_t position) const
{
    Segment segment;
    segment.m_sequence = static_cast<std::uint32_t>(position);
    segment.m_ack = m_peerSynReceived;
    segment.m_acknowledgment = m_peerSynReceived ? static_cast<std::uint32_t>(m_nextExpected) : 0;
    if (position == m_initialPosition) {
        segment.m_syn = true;
        return segment;
    }
    if (position >= m_outgoingStart && position < endOfStream())
        segment.m_payload = m_outgoing.substr(position - m_outgoingStart, c_segmentBytes);
    segment.m_fin = m_finishing && position + segment.m_payload.size() == endOfStream();
    return segment;
}

std::vector<Segment> TcpConnection::takeSegments(Instant now)
{
    std::vector<Segment> segments;
    if (m_state == TcpState::Reset || m_state == TcpState::TimedOut)
        return segments;
    if (m_pendingReset)
        segments.push_back(*std::exchange(m_pendingReset, std::nullopt));
    if (m_nextToSend > m_unacknowledged && now >= m_retransmitAt) {
        if (++m_consecutiveTimeouts > c_maxConsecutiveTimeouts) {
            m_state = TcpState::TimedOut;
            m_retransmitAt = Deadline::max();
            return segments;
        }
        m_nextToSend = m_unacknowledged;
        ++m_retransmissions;
        m_retransmitAt = now
            + std::min(c_initialRetransmissionTimeout * (1U << std::min(m_consecutiveTimeouts, 4U)),
                c_maxRetransmissionTimeout);
    } else if (m_retransmitNow && m_nextToSend > m_unacknowledged) {
        ++m_retransmissions;
        segments.push_back(segmentAt(m_unacknowledged));
    }
    m_retransmitNow = false;
    const bool isOpen = m_state != TcpState::Opening;
    const std::uint64_t end = isOpen ? endOfStream() + (m_finishing ? 1 : 0) : m_initialPosition + 1;
    const std::uint64_t limit = std::min(end, m_unacknowledged + c_windowBytes);
    while (m_nextToSend < limit) {
        segments.push_back(segmentAt(m_nextToSend));
        m_nextToSend += segments.back().length();
    }
    if (m_acknowledgeNow && segments.empty())
        segments.push_back(segmentAt(m_nextToSend));
    m_acknowledgeNow = false;
    if (m_nextToSend > m_unacknowledged && m_retransmitAt == Deadline::max())
        m_retransmitAt = now + c_initialRetransmissionTimeout;
    return segments;
}

} // namespace cuminrelay::standins
