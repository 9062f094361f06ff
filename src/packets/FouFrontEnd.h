#pragma once

#include "packets/UdpFrontEnd.h"

#include <boost/unordered/unordered_flat_set.hpp>
#include <cstdint>
#include <span>

namespace cuminrelay {

/// Receives callers' packets from the fabric: IPv4 inside UDP, as in the kernel's foo-over-UDP (FOU).
class FouFrontEnd final : public UdpFrontEnd {
public:
    /// sources: the addresses of the fabric; datagrams from other addresses are dropped as NotMember.
    FouFrontEnd(boost::asio::ip::udp::socket& socket, ActionExecutor& executor, std::span<const std::uint32_t> sources,
        Metrics& metrics, Log& log);

private:
    Unwrapped unwrap(const Datagram& datagram) override;

    boost::unordered_flat_set<std::uint32_t> m_sources;
};

} // namespace cuminrelay
