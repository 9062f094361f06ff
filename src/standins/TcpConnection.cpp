#include "standins/TcpConnection.h"

#include <algorithm>
#include <utility>

namespace cuminrelay::standins {

namespace {

    constexpr std::size_t c_segmentBytes = 1200;
    constexpr std::uint64_t c_windowBytes = 48 * c_segmentBytes;
    constexpr Duration c_firstRetransmission = std::chrono::milliseconds { 200 };
    constexpr Duration c_longestRetransmission = std::chrono::seconds { 1 };
    constexpr unsigned c_maximumTries = 12;
    constexpr unsigned c_fastRetransmitAfter = 3;
    constexpr std::uint64_t c_wrap = std::uint64_t { 1 } << 32;

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
    : m_initial(c_wrap + initialSequence)
    , m_unacknowledged(m_initial)
    , m_nextToSend(m_initial)
    , m_outgoingStart(m_initial + 1)
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
    connection.m_peerKnown = true;
    connection.m_nextExpected = c_wrap + syn.m_sequence + 1;
    return connection;
}

std::uint64_t TcpConnection::unwrap(std::uint32_t sequence, std::uint64_t near) const
{
    const std::int32_t distance = static_cast<std::int32_t>(sequence - static_cast<std::uint32_t>(near));
    return near + static_cast<std::uint64_t>(static_cast<std::int64_t>(distance));
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
        const bool answersSyn
            = !m_peerKnown && segment.m_ack && segment.m_acknowledgment == static_cast<std::uint32_t>(m_initial + 1);
        const std::uint64_t position = unwrap(segment.m_sequence, m_nextExpected);
        const bool inWindow = m_peerKnown && position >= m_nextExpected && position < m_nextExpected + c_windowBytes;
        if (answersSyn || inWindow)
            m_state = TcpState::Reset;
        return;
    }
    if (isOldDuplicate(segment)) {
        m_refusal = resetFor(segment);
        return;
    }
    if (segment.m_syn) {
        if (!m_peerKnown && segment.m_ack) {
            m_peerKnown = true;
            m_nextExpected = c_wrap + segment.m_sequence + 1;
        } else if (m_state == TcpState::Opening && m_passive) {
            m_resendNow = true;
        }
        m_acknowledgeNow = true;
    }
    if (!m_peerKnown)
        return;
    const std::uint64_t before = m_unacknowledged;
    if (segment.m_ack)
        takeAcknowledgment(segment);
    takePayload(segment);
    closeWhenDone();
    if (m_unacknowledged == m_nextToSend)
        m_retransmitAt = Deadline::max();
    else if (m_unacknowledged > before)
        m_retransmitAt = now + c_firstRetransmission;
}

bool TcpConnection::isOldDuplicate(const Segment& segment) const
{
    // RFC 9293, 3.10.7.4: until its SYN is acknowledged, a passive end rejects any other acknowledgment.
    return m_passive && m_state == TcpState::Opening && segment.m_ack
        && segment.m_acknowledgment != static_cast<std::uint32_t>(m_initial + 1);
}

void TcpConnection::takeAcknowledgment(const Segment& segment)
{
    const std::uint64_t acknowledged = unwrap(segment.m_acknowledgment, m_unacknowledged);
    const std::uint64_t highest = endOfStream() + (m_finishing ? 1 : 0);
    if (acknowledged > highest)
        return;
    if (acknowledged <= m_unacknowledged) {
        const bool duplicate
            = acknowledged == m_unacknowledged && segment.length() == 0 && m_nextToSend > m_unacknowledged;
        if (duplicate && ++m_duplicateAcknowledgments == c_fastRetransmitAfter)
            m_resendNow = true;
        return;
    }
    m_unacknowledged = acknowledged;
    m_nextToSend = std::max(m_nextToSend, acknowledged);
    m_tries = 0;
    m_duplicateAcknowledgments = 0;
    if (acknowledged > m_outgoingStart) {
        const std::uint64_t bytes = std::min<std::uint64_t>(acknowledged - m_outgoingStart, m_outgoing.size());
        m_outgoing.erase(0, bytes);
        m_outgoingStart += bytes;
    }
    if (m_state == TcpState::Opening)
        m_state = TcpState::Established;
}

void TcpConnection::takePayload(const Segment& segment)
{
    const std::uint64_t position = unwrap(segment.m_sequence, m_nextExpected) + (segment.m_syn ? 1 : 0);
    if (segment.m_fin)
        m_peerFinPosition = position + segment.m_payload.size();
    if (!segment.m_payload.empty() && position <= m_nextExpected + c_windowBytes) {
        std::string& kept = m_early[position];
        if (segment.m_payload.size() > kept.size())
            kept = segment.m_payload;
    }
    if (segment.m_fin || !segment.m_payload.empty())
        m_acknowledgeNow = true;
    acceptInOrder();
}

void TcpConnection::acceptInOrder()
{
    while (!m_early.empty() && m_early.begin()->first <= m_nextExpected) {
        const std::uint64_t known = m_nextExpected - m_early.begin()->first;
        const std::string& payload = m_early.begin()->second;
        if (known < payload.size()) {
            m_readable += std::string_view { payload }.substr(known);
            m_nextExpected += payload.size() - known;
        }
        m_early.erase(m_early.begin());
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
    segment.m_ack = m_peerKnown;
    segment.m_acknowledgment = m_peerKnown ? static_cast<std::uint32_t>(m_nextExpected) : 0;
    if (position == m_initial) {
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
    if (m_refusal)
        segments.push_back(*std::exchange(m_refusal, std::nullopt));
    if (m_nextToSend > m_unacknowledged && now >= m_retransmitAt) {
        if (++m_tries > c_maximumTries) {
            m_state = TcpState::TimedOut;
            m_retransmitAt = Deadline::max();
            return segments;
        }
        m_nextToSend = m_unacknowledged;
        ++m_retransmissions;
        m_retransmitAt = now + std::min(c_firstRetransmission * (1U << std::min(m_tries, 4U)), c_longestRetransmission);
    } else if (m_resendNow && m_nextToSend > m_unacknowledged) {
        ++m_retransmissions;
        segments.push_back(segmentAt(m_unacknowledged));
    }
    m_resendNow = false;
    const bool open = m_state != TcpState::Opening;
    const std::uint64_t end = open ? endOfStream() + (m_finishing ? 1 : 0) : m_initial + 1;
    const std::uint64_t limit = std::min(end, m_unacknowledged + c_windowBytes);
    while (m_nextToSend < limit) {
        segments.push_back(segmentAt(m_nextToSend));
        m_nextToSend += segments.back().length();
    }
    if (m_acknowledgeNow && segments.empty())
        segments.push_back(segmentAt(m_nextToSend));
    m_acknowledgeNow = false;
    if (m_nextToSend > m_unacknowledged && m_retransmitAt == Deadline::max())
        m_retransmitAt = now + c_firstRetransmission;
    return segments;
}

} // namespace cuminrelay::standins
