#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay::standins {

/// The TCP segment fields that the test doubles use.
struct Segment {
    std::uint32_t m_sequence = 0;
    std::uint32_t m_acknowledgment = 0;
    bool m_syn = false;
    bool m_ack = false;
    bool m_fin = false;
    bool m_reset = false;
    std::string m_payload;

    /// Length in sequence numbers, with SYN and FIN.
    std::uint32_t length() const;
};

/// The reset that answers a segment of an unknown connection (RFC 9293, 3.5.2).
Segment resetFor(const Segment& segment);

enum class TcpState : std::uint8_t {
    Opening, ///< handshake incomplete
    Established,
    Closed, ///< both FINs received and all data acknowledged
    Reset, ///< by the peer or abort()
    TimedOut, ///< too many retransmissions without an answer
};

/// One end of a TCP connection without socket or clock: receives and returns segments. Delivers in order, removes
/// duplicates, acknowledges at once and retransmits from the first unacknowledged byte. It has a fixed window, no
/// congestion control and no options, which suffices for a network that loses, duplicates and reorders packets.
class TcpConnection {
public:
    /// The caller's end; its SYN is due at once.
    static TcpConnection active(std::uint32_t initialSequence);

    /// The backend server's end, created by the caller's SYN.
    static TcpConnection passive(std::uint32_t initialSequence, const Segment& syn);

    void receive(const Segment& segment, Instant now);

    /// Appends bytes to the stream; they are sent as the window permits.
    void write(std::string_view bytes);

    /// Sends a FIN after the written bytes.
    void finish() { m_finishing = true; }

    /// Drops the connection: sends no more segments; the state becomes Reset.
    void abort() { m_state = TcpState::Reset; }

    /// Returns all segments due now: new data, acknowledgments and retransmissions.
    std::vector<Segment> takeSegments(Instant now);

    /// Time of the next retransmission by takeSegments(); Deadline::max() if none.
    Deadline nextDeadline() const { return m_retransmitAt; }

    /// The received bytes, in order, that are not consumed yet.
    std::string_view readable() const { return m_readable; }
    void consume(std::size_t bytes) { m_readable.erase(0, bytes); }

    TcpState state() const { return m_state; }
    bool peerFinished() const { return m_peerFinished; }
    std::uint64_t retransmissions() const { return m_retransmissions; }

private:
    explicit TcpConnection(std::uint32_t initialSequence);

    void applyAcknowledgment(const Segment& segment);
    void applyPayload(const Segment& segment);
    void acceptInOrder();
    bool isOldDuplicate(const Segment& segment) const;
    void closeWhenDone();
    Segment segmentAt(std::uint64_t position) const;
    std::uint64_t endOfStream() const;
    std::uint64_t unwrap(std::uint32_t sequence, std::uint64_t reference) const;

    TcpState m_state = TcpState::Opening;
    bool m_passive = false;
    bool m_peerSynReceived = false; ///< the peer's initial sequence number is received
    bool m_finishing = false;
    bool m_peerFinished = false;
    bool m_acknowledgeNow = false;
    bool m_retransmitNow = false;
    std::optional<Segment> m_pendingReset; ///< answer to an old duplicate

    // Stream positions have 64 bits; the low 32 bits are the sequence number. The SYN is at m_initialPosition.
    std::uint64_t m_initialPosition = 0;
    std::uint64_t m_unacknowledged = 0;
    std::uint64_t m_nextToSend = 0;
    std::string m_outgoing; ///< unacknowledged and unsent bytes
    std::uint64_t m_outgoingStart = 0; ///< position of m_outgoing's first byte

    std::uint64_t m_nextExpected = 0;
    std::map<std::uint64_t, std::string> m_outOfOrder; ///< out-of-order payload by position
    std::uint64_t m_peerFinPosition = 0; ///< 0: no FIN received
    std::string m_readable;

    Deadline m_retransmitAt = Deadline::max();
    unsigned m_consecutiveTimeouts = 0;
    unsigned m_duplicateAcknowledgments = 0;
    std::uint64_t m_retransmissions = 0;
};

} // namespace cuminrelay::standins
