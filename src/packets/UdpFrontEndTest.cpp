#include "packets/FouActionExecutor.h"
#include "packets/FouFrontEnd.h"
#include "packets/PacketBuilder.h"
#include "packets/PacketParser.h"
#include "packets/PeerFrontEnd.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <vector>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;
    using asio::ip::udp;

    constexpr std::uint32_t c_loopback = 0x7f000001;
    constexpr Endpoint c_caller { 0x0a000001, 40000 };
    constexpr Endpoint c_service { 0x0a640001, 443 };

    using Bytes = std::vector<std::byte>;

    Bytes opening()
    {
        Bytes out(c_tcpPacketHeaderBytes);
        buildTcpPacket({ c_caller, c_service, 1000, 0, TH_SYN, 512, {} }, out);
        return out;
    }

    Bytes datagramTo(Endpoint service)
    {
        Bytes out(c_udpPacketHeaderBytes);
        buildUdpPacket({ c_caller, service, {} }, out);
        return out;
    }

    udp::endpoint systemEndpoint(Endpoint endpoint)
    {
        return { asio::ip::address_v4 { endpoint.m_address }, endpoint.m_port };
    }

    /// One front end of each kind and the sockets at its other ends, all on loopback.
    class UdpFrontEndTest : public testing::Test {
    protected:
        udp::socket open() { return openUdpSocket(m_context.get_executor(), { c_loopback, 0 }, "test").value(); }

        static void sendTo(udp::socket& from, const udp::socket& to, const Bytes& bytes)
        {
            from.send_to(asio::buffer(bytes), systemEndpoint(localEndpoint(to)));
        }

        /// The next queued datagram; empty if there is none.
        static Bytes receiveNow(udp::socket& socket)
        {
            Bytes bytes(c_datagramBufferBytes);
            udp::endpoint source;
            boost::system::error_code error;
            bytes.resize(socket.receive_from(asio::buffer(bytes), source, 0, error));
            return error ? Bytes {} : bytes;
        }

        /// Runs the context until the front end has received a batch.
        std::span<const PacketSummary> receive(PacketFrontEnd& frontEnd)
        {
            std::future<std::span<const PacketSummary>> batch
                = asio::co_spawn(m_context, frontEnd.receive(), asio::use_future);
            m_context.restart();
            m_context.run();
            return batch.get();
        }

        std::uint64_t count(std::string_view name, std::string_view reason)
        {
            return m_metrics.counter(name, reason).value();
        }

        asio::io_context m_context;
        Metrics m_metrics;
        Log m_log { LogLevel::Error };
        udp::socket m_fabricSocket = open(); ///< of the entry VM, for packets from the fabric
        udp::socket m_peersSocket = open(); ///< of the entry VM, for packets from peers
        udp::socket m_fabric = open();
        udp::socket m_peer = open();
        udp::socket m_backend = open();
        std::array<std::uint32_t, 1> m_fabricSources { c_loopback };
        FouActionExecutor m_executor { m_fabricSocket, m_peersSocket, localEndpoint(m_fabric), m_metrics };
        FouFrontEnd m_fouFrontEnd { m_fabricSocket, m_executor, m_fabricSources, m_metrics, m_log };
        PeerFilter m_filter;
        PeerFrontEnd m_peerFrontEnd { m_peersSocket, m_executor, m_filter, m_metrics, m_log };
    };

    TEST_F(UdpFrontEndTest, openingFromTheFabricIsForwardedToItsBackendServer)
    {
        const Bytes packet = opening();
        sendTo(m_fabric, m_fabricSocket, packet);
        const std::span<const PacketSummary> batch = receive(m_fouFrontEnd);
        ASSERT_EQ(batch.size(), 1U);
        EXPECT_EQ(batch[0].m_kind, PacketKind::Opening);
        EXPECT_EQ(batch[0].m_arrival, Arrival::Fabric);
        EXPECT_EQ(batch[0].m_flow, (FlowKey { c_caller, c_service, Protocol::Tcp }));

        const std::array actions { PacketAction {
            PacketActionKind::ToBackend, Reason::None, localEndpoint(m_backend), {} } };
        m_fouFrontEnd.send(actions);
        EXPECT_EQ(receiveNow(m_backend), packet);
        EXPECT_EQ(count("cuminrelay_packets_sent_total", "to_backend"), 1U);
    }

    TEST_F(UdpFrontEndTest, receiveWaitsForAPacket)
    {
        std::future<std::span<const PacketSummary>> batch
            = asio::co_spawn(m_context, m_fouFrontEnd.receive(), asio::use_future);
        m_context.poll();
        sendTo(m_fabric, m_fabricSocket, Bytes(3));
        m_context.run_one();
        EXPECT_EQ(count("cuminrelay_fabric_drops_total", "truncated"), 1U);
        sendTo(m_fabric, m_fabricSocket, opening());
        m_context.run();
        EXPECT_EQ(batch.get().size(), 1U);
    }

    TEST_F(UdpFrontEndTest, batchesAreBounded)
    {
        for (std::size_t i = 0; i < c_maximumBatch + 1; ++i)
            sendTo(m_fabric, m_fabricSocket, opening());
        EXPECT_EQ(receive(m_fouFrontEnd).size(), c_maximumBatch);
        EXPECT_EQ(receive(m_fouFrontEnd).size(), 1U);
    }

    TEST_F(UdpFrontEndTest, receiveQueueDropsAreCounted)
    {
        m_fabricSocket.set_option(asio::socket_base::receive_buffer_size { 4096 });
        constexpr std::size_t sent = 200;
        for (std::size_t i = 0; i < sent; ++i)
            sendTo(m_fabric, m_fabricSocket, opening());
        const std::size_t queued = receive(m_fouFrontEnd).size();
        ASSERT_LT(queued, sent);
        sendTo(m_fabric, m_fabricSocket, opening()); // reports the drops before it
        EXPECT_EQ(receive(m_fouFrontEnd).size(), 1U);
        EXPECT_EQ(count("cuminrelay_receive_queue_drops_total", "fabric"), sent - queued);
    }

    TEST_F(UdpFrontEndTest, unauthorizedAndMalformedDatagramsAreDroppedAndCounted)
    {
        udp::socket unknownSender = openUdpSocket(m_context.get_executor(), { c_loopback + 1, 0 }, "test").value();
        sendTo(unknownSender, m_fabricSocket, opening());
        Bytes flipped = opening();
        flipped[8] ^= std::byte { 1 };
        sendTo(m_fabric, m_fabricSocket, flipped);
        sendTo(m_fabric, m_fabricSocket, Bytes(c_maximumPacketBytes + 1));
        sendTo(m_fabric, m_fabricSocket, Bytes(c_datagramBufferBytes + 1));
        sendTo(m_fabric, m_fabricSocket, opening());
        EXPECT_EQ(receive(m_fouFrontEnd).size(), 1U);
        EXPECT_EQ(count("cuminrelay_fabric_drops_total", "not_member"), 1U);
        EXPECT_EQ(count("cuminrelay_fabric_drops_total", "malformed"), 1U);
        EXPECT_EQ(count("cuminrelay_fabric_drops_total", "truncated"), 2U);
        EXPECT_EQ(count("cuminrelay_packets_received_total", "fabric"), 5U);
    }

    TEST_F(UdpFrontEndTest, forwardedPacketReachesThePeer)
    {
        const Bytes packet = opening();
        sendTo(m_fabric, m_fabricSocket, packet);
        receive(m_fouFrontEnd);
        const Endpoint backend { 0x0a0a0a0a, 6080 };
        const std::array actions { PacketAction {
            PacketActionKind::RecordThenForward, Reason::None, localEndpoint(m_peer), backend } };
        m_fouFrontEnd.send(actions);
        const Bytes datagram = receiveNow(m_peer);
        const Outcome<PeerPacket> received = decodePeerPacket(datagram);
        ASSERT_TRUE(received.has_value());
        EXPECT_EQ(received.value().m_arrival, Arrival::Record);
        EXPECT_EQ(received.value().m_hops, 1);
        EXPECT_EQ(received.value().m_backend, backend);
        EXPECT_TRUE(std::ranges::equal(received.value().m_packet, packet));
    }

    TEST_F(UdpFrontEndTest, peerPacketsAreAcceptedFromMembersOnly)
    {
        const Bytes packet = opening();
        Bytes datagram(packet.size() + c_peerPacketOverheadBytes);
        datagram.resize(encodePeerPacket({ Arrival::ForwardToPreviousOwner, 2, {}, packet }, datagram).size());
        sendTo(m_peer, m_peersSocket, datagram);

        Member member;
        member.m_peers = localEndpoint(m_backend);
        m_filter.install(std::array { member });
        sendTo(m_backend, m_peersSocket, datagram);
        sendTo(m_backend, m_peersSocket, packet); // a caller's packet without a peer packet around it
        const std::span<const PacketSummary> batch = receive(m_peerFrontEnd);
        ASSERT_EQ(batch.size(), 1U);
        EXPECT_EQ(batch[0].m_arrival, Arrival::ForwardToPreviousOwner);
        EXPECT_EQ(batch[0].m_hops, 2);
        EXPECT_EQ(batch[0].m_peer, localEndpoint(m_backend));
        EXPECT_EQ(count("cuminrelay_peer_drops_total", "not_member"), 1U);
        EXPECT_EQ(count("cuminrelay_peer_drops_total", "malformed"), 1U);
    }

    TEST_F(UdpFrontEndTest, refusalsGoToTheFabric)
    {
        sendTo(m_fabric, m_fabricSocket, opening());
        sendTo(m_fabric, m_fabricSocket, datagramTo(c_service));
        ASSERT_EQ(receive(m_fouFrontEnd).size(), 2U);
        const std::array actions {
            PacketAction { PacketActionKind::Refuse, Reason::NoBackendServer, {}, {} },
            PacketAction { PacketActionKind::Refuse, Reason::AdmissionShare, {}, {} },
        };
        m_fouFrontEnd.send(actions);
        const ParsedPacket reset = parsePacket(receiveNow(m_fabric));
        ASSERT_TRUE(reset.has_value());
        EXPECT_EQ(reset.value().m_kind, PacketKind::Reset);
        EXPECT_EQ(reset.value().m_flow, (FlowKey { c_service, c_caller, Protocol::Tcp }));
        const Bytes unreachable = receiveNow(m_fabric);
        ASSERT_GT(unreachable.size(), 28U);
        EXPECT_EQ(unreachable[9], std::byte { IPPROTO_ICMP });
        EXPECT_EQ(count("cuminrelay_refusals_total", "admission_share"), 1U);
    }

    TEST_F(UdpFrontEndTest, droppedPacketsAreCounted)
    {
        sendTo(m_fabric, m_fabricSocket, opening());
        receive(m_fouFrontEnd);
        m_fouFrontEnd.send(std::array { PacketAction { PacketActionKind::Drop, Reason::UnknownService, {}, {} } });
        EXPECT_EQ(count("cuminrelay_drops_total", "unknown_service"), 1U);
    }

    TEST_F(UdpFrontEndTest, closedSocketEndsTheTask)
    {
        std::future<std::span<const PacketSummary>> batch
            = asio::co_spawn(m_context, m_fouFrontEnd.receive(), asio::use_future);
        m_context.poll();
        m_fabricSocket.close();
        m_context.run();
        EXPECT_TRUE(batch.get().empty());
    }

    TEST_F(UdpFrontEndTest, portInUseIsReportedWithTheEndpoint)
    {
        const Endpoint usedEndpoint = localEndpoint(m_fabricSocket);
        const Outcome<udp::socket> second = openUdpSocket(m_context.get_executor(), usedEndpoint, "packets");
        ASSERT_FALSE(second.has_value());
        EXPECT_NE(second.error().m_message.find(formatEndpoint(usedEndpoint)), std::string::npos);
    }

    TEST(PeerFilter, membersOfThePreviousViewAreAccepted)
    {
        Member first;
        first.m_peers = { 1, 10 };
        first.m_replica = { 1, 11 };
        Member second;
        second.m_peers = { 2, 20 };
        second.m_replica = { 3, 21 };
        PeerFilter filter;
        EXPECT_FALSE(filter.containsPeer(first.m_peers));
        filter.install(std::array { first });
        filter.install(std::array { second });
        filter.install(std::array { second }); // the same members: no new view
        EXPECT_TRUE(filter.containsPeer(first.m_peers));
        EXPECT_TRUE(filter.containsPeer(second.m_peers));
        EXPECT_TRUE(filter.containsAddress(3));
        EXPECT_FALSE(filter.containsPeer({ 2, 21 }));
        filter.install(std::array { first, second });
        EXPECT_TRUE(filter.containsPeer(first.m_peers));
        filter.install({});
        filter.install(std::array { second });
        EXPECT_FALSE(filter.containsPeer(first.m_peers));
    }

} // namespace
} // namespace cuminrelay
