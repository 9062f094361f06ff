#pragma once

#include "packets/Packet.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <span>

namespace cuminrelay {

/// The most packets in one batch.
inline constexpr std::size_t c_maximumBatch = 64;

/// The longest caller's packet that is forwarded: a jumbo frame.
inline constexpr std::size_t c_maximumPacketBytes = 9216;

/// Where packets come from and where verdicts on them are carried out. The bytes of a batch stay inside; decisions see
/// only summaries. One task drives each front end: receive, decide, send.
class PacketFrontEnd {
public:
    PacketFrontEnd() = default;
    PacketFrontEnd(const PacketFrontEnd&) = delete;
    PacketFrontEnd& operator=(const PacketFrontEnd&) = delete;
    virtual ~PacketFrontEnd() = default;

    /// Waits for packets and returns the summaries of at most c_maximumBatch of them, valid until the next call. What
    /// is no packet to decide on is dropped and counted. Empty only when the front end was closed.
    virtual boost::asio::awaitable<std::span<const PacketSummary>> receive() = 0;

    /// Carries out verdicts[i] on packet i of the last batch. Never waits: what cannot be sent at once is dropped and
    /// counted, as a router does.
    virtual void send(std::span<const Verdict> verdicts) = 0;

    /// Resets the caller of a flow of which no packet is at hand. acknowledgment: the caller's, as last seen. A front
    /// end whose resets quote the packet does nothing.
    virtual void reset(const FlowKey&, std::uint32_t /*acknowledgment*/) { }
};

} // namespace cuminrelay
