#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay::standins {

/// The part of a TCP segment that the stand-ins use.
struct Segment {
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgment = 0;
    bool m_syn = false;
    bool m_ack = false;
    bool m_fin = false;
    bool m_reset = false;
    std::string m_payload;

    /// The sequence numbers that the segment takes up.
    std::uint32_t length() const;
};

/// The reset that a kernel answers to a segment of a connection that it does not know (RFC 9293, 3.5.2).
Segment resetFor(const Segment& segment);

/// How a connection stands.
enum class TcpState : std::uint8_t {
    Opening, ///< the handshake is not complete
    Established,
    Closed, ///< both sides finished and all is acknowledged
    Reset, ///< by the other side
    TimedOut, ///< too many retransmissions without an answer
};

/// One end of a TCP connection, without a socket or clock: segments go in, segments come out. It keeps order, removes
/// duplicates, acknowledges at once and retransmits from the first unacknowledged byte; a fixed window, no congestion
/// control, no options. Enough for a stand-in on a network that loses, doubles and reorders.
class TcpConnection {
public:
    /// The caller's end; its SYN is due at once.
    static TcpConnection active(std::uint32_t initialSequence);

    /// The backend server's end, made by the caller's SYN.
    static TcpConnection passive(std::uint32_t initialSequence, const Segment& syn);

    void receive(const Segment& segment, Instant now);

    /// Appends bytes to the stream; they leave as the window permits.
    void write(std::string_view bytes);

    /// Ends the stream after what was written.
    void finish() { m_finishing = true; }

    /// Drops the connection: no segment leaves any more, and the state is Reset.
    void abort() { m_state = TcpState::Reset; }

    /// All segments that are due now: new data, acknowledgments and retransmissions.
    std::vector<Segment> takeSegments(Instant now);

    /// When takeSegments() has to be called again, unless something is written or received before.
    Deadline nextDeadline() const { return m_retransmitAt; }

    /// The received bytes in order that were not consumed yet.
    std::string_view readable() const { return m_readable; }
    void consume(std::size_t bytes) { m_readable.erase(0, bytes); }

    TcpState state() const { return m_state; }
    bool peerFinished() const { return m_peerFinished; }
    std::uint64_t retransmissions() const { return m_retransmissions; }

private:
    explicit TcpConnection(std::uint32_t initialSequence);

    void takeAcknowledgment(const Segment& segment);
    void takePayload(const Segment& segment);
    void acceptInOrder();
    bool isOldDuplicate(const Segment& segment) const;
    void closeWhenDone();
    Segment segmentAt(std::uint64_t position) const;
    std::uint64_t endOfStream() const;
    std::uint64_t unwrap(std::uint32_t sequence, std::uint64_t near) const;

    TcpState m_state = TcpState::Opening;
    bool m_passive = false;
    bool m_peerKnown = false; ///< the peer's initial sequence number has arrived
    bool m_finishing = false;
    bool m_peerFinished = false;
    bool m_acknowledgeNow = false;
    bool m_resendNow = false;
    std::optional<Segment> m_refusal; ///< the reset that answers an old duplicate

    // Positions are 64 bits wide; the low 32 are the sequence numbers. The SYN is at m_initial.
    std::uint64_t m_initial = 0;
    std::uint64_t m_unacknowledged = 0;
    std::uint64_t m_nextToSend = 0;
    std::string m_outgoing; ///< bytes from the first unacknowledged one on
    std::uint64_t m_outgoingStart = 0; ///< position of m_outgoing's first byte

    std::uint64_t m_nextExpected = 0;
    std::map<std::uint64_t, std::string> m_early; ///< payload beyond a gap, by position
    std::uint64_t m_peerFinPosition = 0; ///< 0: no FIN seen
    std::string m_readable;

    Deadline m_retransmitAt = Deadline::max();
    unsigned m_tries = 0;
    unsigned m_duplicateAcknowledgments = 0;
    std::uint64_t m_retransmissions = 0;
};

} // namespace cuminrelay::standins
