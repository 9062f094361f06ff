#pragma once

#include "packets/Packet.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <span>

namespace cuminrelay {

inline constexpr std::size_t c_maximumBatch = 64;

/// The maximum length of a caller's packet that is forwarded: a jumbo frame.
inline constexpr std::size_t c_maximumPacketBytes = 9216;

/// Receives packets and executes the actions on them. Holds the bytes of a batch; the router gets only summaries. One
/// task drives each front end: receive, decide, send.
class PacketFrontEnd {
public:
    PacketFrontEnd() = default;
    PacketFrontEnd(const PacketFrontEnd&) = delete;
    PacketFrontEnd& operator=(const PacketFrontEnd&) = delete;
    virtual ~PacketFrontEnd() = default;

    /// Waits for packets and returns the summaries of at most c_maximumBatch of them, valid until the next call.
    /// Datagrams that cannot be forwarded are dropped and counted. Empty only if the front end was closed.
    virtual boost::asio::awaitable<std::span<const PacketSummary>> receive() = 0;

    /// Executes actions[i] on packet i of the last batch. Never waits: packets that cannot be sent at once are dropped
    /// and counted.
    virtual void send(std::span<const PacketAction> actions) = 0;

    /// Resets the caller of a flow without a packet to answer. acknowledgment: the last number received from the
    /// caller. Does nothing in front ends that build resets only from a packet.
    virtual void reset(const FlowKey&, std::uint32_t /*acknowledgment*/) { }
};

} // namespace cuminrelay
