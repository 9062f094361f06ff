#pragma once

#include "World.h"

namespace review {

inline Host::Host(World& world, HostOptions options)
    : m_world(world)
    , m_options(std::move(options))
{
}

inline std::string Host::id() const
{
    char name[32];
    std::snprintf(name, sizeof name, "i-%010llx", static_cast<unsigned long long>(m_options.m_identity));
    return name;
}

inline void Host::start()
{
    m_packets = openSocket(SOCK_DGRAM, m_options.m_address);
    m_health = openSocket(SOCK_STREAM, m_options.m_address);
    m_world.m_loop.watch(m_packets, [this] { receivePacket(); });
    m_world.m_loop.watch(m_health, [this] { acceptHealthCheck(); });
    m_isAlive = true;
    m_isDraining = false;
    m_born = unixMilliseconds();
    m_sequence = 0;
    m_world.log("%s of %s starts at %s in %s", id().c_str(), m_options.m_service.c_str(),
        text(m_options.m_address).c_str(), m_options.m_zone.c_str());
    renewEntry();
    beat(++m_life);
}

/// Writes about every HeartbeatMs; the entry changes when more than Seq changes.
inline void Host::beat(std::uint64_t life)
{
    if (!m_isAlive || m_life != life)
        return;
    ++m_sequence;
    if (!m_world.m_store->isDown()) {
        m_lastHeard = now();
        if (!m_world.m_store->has("servers", id()))
            renewEntry();
    }
    m_world.m_loop.after(1'200, [this, life] { beat(life); });
}

inline void Host::renewEntry()
{
    m_lastHeard = now();
    m_world.m_store->put("servers", id(),
        "{\"Service\":\"" + m_options.m_service + "\",\"Address\":\"" + text(m_options.m_address) + "\",\"Zone\":\""
            + m_options.m_zone + "\",\"Version\":\"v1\",\"Slots\":2,\"State\":\""
            + (m_isDraining ? "draining" : "ready") + "\",\"WarmupLeftMs\":0,\"Seq\":" + std::to_string(++m_sequence)
            + ",\"born\":" + std::to_string(m_born) + "}");
}

inline void Host::drain()
{
    m_isDraining = true;
    renewEntry();
    m_drainAcknowledgedAt = now();
    m_world.log("%s drains", id().c_str());
}

inline void Host::end(bool removesEntry)
{
    if (!m_isAlive)
        return;
    m_isAlive = false;
    m_world.m_loop.forget(m_packets);
    m_world.m_loop.forget(m_health);
    ::close(m_packets);
    ::close(m_health);
    m_flows.clear();
    m_world.log("%s %s", id().c_str(), removesEntry ? "leaves" : "crashes");
    if (removesEntry)
        m_world.m_store->remove("servers", id());
}

inline void Host::receivePacket()
{
    for (;;) {
        unsigned char bytes[2048];
        const ssize_t size = recv(m_packets, bytes, sizeof bytes, 0);
        if (size < 0)
            return;
        if (size < 8)
            continue;
        std::uint64_t identity = 0;
        for (int i = 0; i < 8; ++i)
            identity = identity << 8 | bytes[i];
        const std::optional<Packet> packet = decode(bytes + 8, static_cast<std::size_t>(size) - 8);
        if (!packet || (identity != 0 && identity != m_options.m_identity))
            continue;
        if (!packet->m_isIntact)
            m_world.breakRule("UNASKED", id() + " got a packet that its sender did not write so", nullptr);
        accept(*packet);
        if (!m_isAlive)
            return;
    }
}

inline void Host::accept(const Packet& packet)
{
    const FlowKey key { packet.m_source, packet.m_destination };
    const auto found = m_flows.find(key);
    if (packet.m_flags == c_syn) {
        m_world.recordAtHost(*this, packet, false);
        openFlow(packet);
        return;
    }
    const bool holds = found != m_flows.end()
        && (found->second.m_isOpen || packet.m_acknowledgment == found->second.m_initialSequence + 1);
    m_world.recordAtHost(*this, packet, holds);
    if ((packet.m_flags & c_rst) != 0) {
        if (found != m_flows.end())
            m_flows.erase(found);
        return;
    }
    if (!holds) {
        // On a flow that has ended here, a FIN is answered with an ACK.
        const auto ended = m_ended.find(key);
        if ((packet.m_flags & c_fin) != 0 && ended != m_ended.end() && ended->second == packet.m_sequence)
            acknowledgeFin(packet, packet.m_acknowledgment);
        else
            reset(packet);
        return;
    }
    Flow& flow = found->second;
    flow.m_isOpen = true;
    flow.m_echo = packet.m_echo;
    if (flow.m_unacknowledged && packet.m_acknowledgment == flow.m_nextSequence) {
        flow.m_unacknowledged.reset();
        flow.m_timer = 0;
    }
    if (!packet.m_data.empty() && packet.m_sequence == flow.m_expected) {
        flow.m_expected += static_cast<std::uint32_t>(packet.m_data.size());
        m_world.recordRun(*this, packet.m_data, key);
        Packet answer;
        answer.m_source = key.m_service;
        answer.m_destination = key.m_caller;
        answer.m_flags = static_cast<std::uint8_t>(m_isDraining ? c_ack | c_fin : c_ack);
        answer.m_sequence = flow.m_nextSequence;
        answer.m_data = "answer to " + packet.m_data;
        flow.m_nextSequence += static_cast<std::uint32_t>(answer.m_data.size()) + (m_isDraining ? 1 : 0);
        flow.m_isClosing = m_isDraining;
        // Work of some milliseconds.
        const std::uint64_t life = m_life;
        m_world.m_loop.after(10, [this, key, answer, life] {
            const auto still = m_flows.find(key);
            if (m_isAlive && m_life == life && still != m_flows.end())
                send(still->second, answer);
        });
        return;
    }
    if ((packet.m_flags & c_fin) != 0) {
        const std::uint32_t sequence = flow.m_nextSequence;
        m_ended[key] = packet.m_sequence;
        m_flows.erase(found);
        acknowledgeFin(packet, sequence);
        return;
    }
    if (!packet.m_data.empty() && flow.m_unacknowledged)
        transmit(key, flow); // a repeated request: its answer was lost
}

inline void Host::openFlow(const Packet& packet)
{
    const FlowKey key { packet.m_source, packet.m_destination };
    Flow& flow = m_flows[key];
    if (flow.m_expected == 0 || flow.m_callerSequence != packet.m_sequence) {
        flow = Flow {};
        flow.m_callerSequence = packet.m_sequence;
        flow.m_initialSequence = static_cast<std::uint32_t>(m_world.m_random());
        flow.m_nextSequence = flow.m_initialSequence + 1;
        flow.m_expected = packet.m_sequence + 1;
    }
    flow.m_echo = packet.m_echo;
    if (flow.m_isOpen)
        return;
    Packet answer;
    answer.m_source = key.m_service;
    answer.m_destination = key.m_caller;
    answer.m_flags = c_syn | c_ack;
    answer.m_sequence = flow.m_initialSequence;
    send(flow, answer);
}

inline void Host::send(Flow& flow, Packet packet)
{
    flow.m_unacknowledged = packet;
    flow.m_repeats = 0;
    transmit({ packet.m_destination, packet.m_source }, flow);
}

/// Sends what is not acknowledged, and again after 200 ms, doubling up to 1.6 s, 8 times.
inline void Host::transmit(const FlowKey& key, Flow& flow)
{
    Packet packet = *flow.m_unacknowledged;
    packet.m_acknowledgment = flow.m_expected;
    packet.m_echo = flow.m_echo;
    const bool isLost
        = m_world.isDatagramLost() || (m_world.m_losesFromHost && m_world.m_losesFromHost(*this, packet));
    if (!isLost) {
        const std::string bytes = encode(packet);
        const sockaddr_in address = systemAddress({ key.m_caller.m_ip, World::c_packetsPort });
        sendto(m_packets, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    } else if (const auto lost = m_world.m_flows.find(key); lost != m_world.m_flows.end()) {
        m_world.trace(*lost->second, id() + " sends " + World::describe(packet) + ", lost");
    }
    const std::uint64_t timer = ++m_timers;
    flow.m_timer = timer;
    const double wait = std::min(200.0 * (1U << std::min(flow.m_repeats, 3U)), 1'600.0);
    m_world.m_loop.after(wait, [this, key, timer] {
        const auto found = m_flows.find(key);
        if (!m_isAlive || found == m_flows.end() || found->second.m_timer != timer)
            return;
        if (++found->second.m_repeats > 8) {
            m_flows.erase(found);
            return;
        }
        transmit(key, found->second);
    });
}

inline void Host::acknowledgeFin(const Packet& packet, std::uint32_t sequence)
{
    Packet answer;
    answer.m_source = packet.m_destination;
    answer.m_destination = packet.m_source;
    answer.m_flags = c_ack;
    answer.m_echo = packet.m_echo;
    answer.m_sequence = sequence;
    answer.m_acknowledgment = packet.m_sequence + 1;
    if (m_world.isDatagramLost())
        return;
    const std::string bytes = encode(answer);
    const sockaddr_in address = systemAddress({ packet.m_source.m_ip, World::c_packetsPort });
    sendto(m_packets, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

inline void Host::reset(const Packet& packet)
{
    Packet answer;
    answer.m_source = packet.m_destination;
    answer.m_destination = packet.m_source;
    answer.m_flags = c_rst;
    answer.m_echo = packet.m_echo;
    answer.m_sequence = packet.m_acknowledgment;
    const std::string bytes = encode(answer);
    const sockaddr_in address = systemAddress({ packet.m_source.m_ip, World::c_packetsPort });
    sendto(m_packets, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

inline void Host::acceptHealthCheck()
{
    const int fd = accept4(m_health, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
        return;
    const auto isDone = std::make_shared<bool>(false);
    m_world.m_loop.watch(fd, [this, fd, isDone] {
        char request[1024];
        const ssize_t size = recv(fd, request, sizeof request, 0);
        if (size < 0 && errno == EAGAIN)
            return;
        if (size > 0) {
            const std::string answer = std::string { "HTTP/1.1 " } + (m_isDraining ? "503 Leaving" : "200 OK")
                + "\r\nCuminrelay-Instance-Id: " + id() + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            ::send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        *isDone = true;
        m_world.m_loop.forget(fd);
        ::close(fd);
    });
    m_world.m_loop.after(5'000, [this, fd, isDone] {
        if (*isDone)
            return;
        m_world.m_loop.forget(fd);
        ::close(fd);
    });
}

} // namespace review
