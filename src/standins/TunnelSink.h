#pragma once

#include "standins/InnerPacket.h"
#include "standins/TcpStream.h"
#include "standins/Tunnel.h"

#include <array>
#include <memory>
#include <utility>

namespace cuminrelay::standins {

/// Sends a connection's segments from one inner endpoint to another, encapsulated in datagrams to the fabric.
class TunnelSink final : public SegmentSink {
public:
    TunnelSink(std::shared_ptr<Tunnel> tunnel, Endpoint fabric, Endpoint source, Endpoint destination)
        : m_tunnel(std::move(tunnel))
        , m_fabric(fabric)
        , m_source(source)
        , m_destination(destination)
    {
    }

    void send(const Segment& segment) override
    {
        std::array<std::byte, c_maximumInnerBytes> buffer;
        m_tunnel->send(encodeSegment(m_source, m_destination, segment, buffer), m_fabric);
    }

private:
    std::shared_ptr<Tunnel> m_tunnel;
    Endpoint m_fabric;
    Endpoint m_source;
    Endpoint m_destination;
};

} // namespace cuminrelay::standins
