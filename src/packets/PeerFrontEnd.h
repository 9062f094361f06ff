#pragma once

#include "packets/PeerFilter.h"
#include "packets/UdpFrontEnd.h"

namespace cuminrelay {

/// Receives callers' packets that other entry VMs forward as peer packets in UDP datagrams.
class PeerFrontEnd final : public UdpFrontEnd {
public:
    /// filter: the accepted peers; datagrams from other sources are dropped as NotMember. Must outlive the front end.
    PeerFrontEnd(boost::asio::ip::udp::socket& socket, ActionExecutor& executor, const PeerFilter& filter,
        Metrics& metrics, Log& log);

private:
    Unwrapped unwrap(const Datagram& datagram) override;

    const PeerFilter& m_filter;
};

} // namespace cuminrelay
