#include "entry/EntryProcess.h"

#include "admission/UnlimitedAdmission.h"
#include "configuration/ConfigurationMessage.h"
#include "entry/Entry.capnp.h"
#include "entry/ReplicaMessage.h"
#include "members/MemberMessage.h"
#include "packets/DatagramBatch.h"
#include "packets/PacketBuilder.h"
#include "placement/DefaultOnlyPlacement.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <capnp/ez-rpc.h>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace cuminrelay {
namespace {

    namespace asio = boost::asio;
    using asio::ip::udp;

    constexpr std::uint32_t c_loopback = 0x7f000001;
    constexpr Endpoint c_service { 0x0a640001, 443 };
    constexpr std::size_t c_backendServers = 3;
    constexpr timeval c_receiveTimeout { 10, 0 }; // only reached when a test fails
    constexpr std::size_t c_maxPolls = 500;

    using Bytes = std::vector<std::byte>;

    Bytes segmentOf(std::uint16_t callerPort, std::uint8_t flags)
    {
        Bytes out(c_tcpPacketHeaderBytes);
        buildTcpPacket({ { 0x0a000001, callerPort }, c_service, 1000, 2000, flags, 512, {} }, out);
        return out;
    }

    /// Runs an entry process on ephemeral loopback ports in its own threads; the destructor stops it.
    class RunningEntry {
    public:
        RunningEntry(const std::string& name, Endpoint answers)
            : m_process(settings(name, answers), m_placement, m_admission)
        {
            const Outcome<void> opened = m_process.open();
            if (!opened)
                throw std::runtime_error(opened.error().m_message);
            m_thread = std::thread { [this] { m_status = m_process.run(); } };
            m_member.m_name = name;
            m_member.m_zone = "khomas-a";
            m_member.m_peers = m_process.peers();
            m_member.m_replica = m_process.replica();
            m_member.m_control = { c_loopback, 1 };
            m_member.m_incarnation = 1;
        }
        RunningEntry(const RunningEntry&) = delete;
        RunningEntry& operator=(const RunningEntry&) = delete;
        ~RunningEntry()
        {
            m_process.requestLeave();
            waitForExit();
        }

        static EntrySettings settings(const std::string& name, Endpoint answers)
        {
            EntrySettings settings;
            settings.m_name = name;
            settings.m_zone = "khomas-a";
            settings.m_packets = settings.m_peers = settings.m_replica = settings.m_entryRpc = settings.m_metrics
                = { c_loopback, 0 };
            settings.m_answers = answers;
            settings.m_fabricSources = { c_loopback };
            settings.m_replicaBytesPerSecond = 1'000'000;
            settings.m_leaveTimeout = std::chrono::milliseconds { 300 };
            settings.m_logLevel = LogLevel::Error;
            return settings;
        }

        ExitStatus waitForExit()
        {
            if (m_thread.joinable())
                m_thread.join();
            return m_status;
        }

        EntryProcess& process() { return m_process; }
        Member& member() { return m_member; }

    private:
        DefaultOnlyPlacement m_placement;
        UnlimitedAdmission m_admission;
        EntryProcess m_process;
        Member m_member;
        ExitStatus m_status = ExitStatus::Failure;
        std::thread m_thread;
    };

    /// Calls an entry process as its control process does.
    class ControlClient {
    public:
        explicit ControlClient(Endpoint entryRpc)
            : m_client(formatEndpoint(entryRpc).c_str())
            , m_entry(m_client.getMain<wire::EntryControl>())
        {
        }

        /// Installs target as an update of base. Returns the version in force afterwards.
        std::uint64_t install(const Configuration& base, const Configuration& target)
        {
            return installAll(base, std::span { &target, 1 });
        }

        /// Installs targets in one call, each as an update of the previous one.
        std::uint64_t installAll(const Configuration& base, std::span<const Configuration> targets)
        {
            auto request = m_entry.installConfigurationsRequest();
            auto updates = request.initUpdates(static_cast<unsigned>(targets.size()));
            const Configuration* previous = &base;
            for (unsigned i = 0; i < updates.size(); ++i) {
                writeUpdate(*previous, targets[i], updates[i]);
                previous = &targets[i];
            }
            return request.send().wait(m_client.getWaitScope()).getVersion();
        }

        void installMembers(std::span<const Member> members)
        {
            auto request = m_entry.installMembersRequest();
            writeMembers(members, request.initMembers(static_cast<unsigned>(members.size())));
            request.send().wait(m_client.getWaitScope());
        }

        capnp::Response<wire::EntryControl::StatusResults> status()
        {
            return m_entry.statusRequest().send().wait(m_client.getWaitScope());
        }

        std::uint64_t counter(std::string_view name, std::string_view reason)
        {
            const capnp::Response<wire::EntryControl::StatusResults> response = status();
            for (const wire::EntryStatus::Counter::Reader counter : response.getStatus().getCounters()) {
                if (counter.getName() == name.data() && counter.getReason() == reason.data())
                    return counter.getValue();
            }
            return 0;
        }

        /// Polls until a counter reaches a value. Returns false on time-out.
        bool waitForCounter(std::string_view name, std::string_view reason, std::uint64_t value)
        {
            for (std::size_t i = 0; i < c_maxPolls; ++i) {
                if (counter(name, reason) >= value)
                    return true;
                std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
            }
            return false;
        }

    private:
        capnp::EzRpcClient m_client;
        wire::EntryControl::Client m_entry;
    };

    class EntryProcessTest : public testing::Test {
    protected:
        EntryProcessTest()
        {
            for (std::size_t i = 0; i < c_backendServers; ++i) {
                m_backends.push_back(open());
                setsockopt(m_backends.back().native_handle(), SOL_SOCKET, SO_RCVTIMEO, &c_receiveTimeout,
                    sizeof c_receiveTimeout);
            }
        }

        udp::socket open() { return openUdpSocket(m_context.get_executor(), { c_loopback, 0 }, "test").value(); }

        Configuration configuration(std::uint64_t version)
        {
            Configuration configuration;
            configuration.m_version = { version };
            configuration.m_zones = { "khomas-a" };
            for (std::size_t i = 0; i < m_backends.size(); ++i) {
                BackendServer server;
                server.m_name = "agenda-" + std::to_string(i);
                server.m_zone = "khomas-a";
                server.m_tunnel = localEndpoint(m_backends[i]);
                server.m_report = { c_loopback, 80 };
                server.m_slots = 2;
                server.m_connectionLimit = 2000;
                server.m_labels = { { "app", "agenda" } };
                configuration.m_backendServers.push_back(server);
            }
            Service service;
            service.m_name = "agenda";
            service.m_address = c_service;
            service.m_selector.m_requirements = { { "app", SelectorOperator::Equals, { "agenda" } } };
            configuration.m_services = { service };
            return configuration;
        }

        void sendFromFabric(RunningEntry& entry, const Bytes& packet)
        {
            const Endpoint target = entry.process().packets();
            m_fabric.send_to(
                asio::buffer(packet), udp::endpoint { asio::ip::address_v4 { target.m_address }, target.m_port });
        }

        /// The index of the backend server that receives the packet; c_backendServers on time-out.
        std::size_t receivedBy(const Bytes& packet)
        {
            Bytes bytes(c_datagramBufferBytes);
            for (std::size_t attempt = 0; attempt < c_maxPolls; ++attempt) {
                for (std::size_t i = 0; i < m_backends.size(); ++i) {
                    boost::system::error_code error;
                    udp::endpoint source;
                    const std::size_t size = m_backends[i].receive_from(asio::buffer(bytes), source, 0, error);
                    if (!error && Bytes(bytes.begin(), bytes.begin() + size) == packet)
                        return i;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
            }
            return c_backendServers;
        }

        asio::io_context m_context;
        udp::socket m_fabric = open();
        std::vector<udp::socket> m_backends;
    };

    TEST_F(EntryProcessTest, anOpeningPacketIsForwardedToABackendServer)
    {
        RunningEntry entry { "entry-1", localEndpoint(m_fabric) };
        ControlClient control { entry.process().entryRpc() };
        EXPECT_EQ(control.install({}, configuration(1)), 1U);
        control.installMembers(std::array { entry.member() });
        const Bytes opening = segmentOf(40000, TH_SYN);
        sendFromFabric(entry, opening);
        EXPECT_LT(receivedBy(opening), c_backendServers);
        EXPECT_EQ(control.status().getStatus().getFlows(), 1U);
        EXPECT_NE(control.status().getStatus().getIncarnation(), 0U);
        EXPECT_EQ(control.counter("cuminrelay_packets_sent_total", "to_backend"), 1U);
    }

    TEST_F(EntryProcessTest, onlyNewerConfigurationsAreInstalled)
    {
        RunningEntry entry { "entry-1", localEndpoint(m_fabric) };
        ControlClient control { entry.process().entryRpc() };
        EXPECT_EQ(control.install({}, configuration(5)), 5U);
        EXPECT_EQ(control.install({}, configuration(4)), 5U);
        EXPECT_EQ(control.counter("cuminrelay_refusals_total", "configuration_stale"), 1U);
        EXPECT_EQ(control.install(configuration(5), configuration(6)), 6U);
        EXPECT_EQ(control.install(configuration(5), configuration(7)), 6U); // version 5 is no longer the base
        EXPECT_EQ(control.counter("cuminrelay_refusals_total", "configuration_base_not_held"), 1U);
        EXPECT_EQ(control.status().getStatus().getConfigVersion(), 6U);
    }

    TEST_F(EntryProcessTest, oneCallInstallsSeveralVersionsUpToTheFirstRefusedOne)
    {
        RunningEntry entry { "entry-1", localEndpoint(m_fabric) };
        ControlClient control { entry.process().entryRpc() };
        EXPECT_EQ(control.installAll({}, std::array { configuration(2), configuration(5), configuration(6) }), 6U);
        EXPECT_EQ(
            control.installAll(configuration(6), std::array { configuration(7), configuration(4), configuration(9) }),
            7U);
        EXPECT_EQ(control.counter("cuminrelay_refusals_total", "configuration_stale"), 1U);
    }

    TEST_F(EntryProcessTest, theConfigurationSurvivesARestartOfTheControlProcess)
    {
        RunningEntry entry { "entry-1", localEndpoint(m_fabric) };
        {
            ControlClient control { entry.process().entryRpc() };
            control.install({}, configuration(1));
        }
        ControlClient control { entry.process().entryRpc() };
        EXPECT_EQ(control.install(configuration(1), configuration(2)), 2U);
    }

    TEST_F(EntryProcessTest, packetForAnUnknownServiceIsDroppedAndCounted)
    {
        RunningEntry entry { "entry-1", localEndpoint(m_fabric) };
        ControlClient control { entry.process().entryRpc() };
        control.install({}, configuration(1));
        control.installMembers(std::array { entry.member() });
        Bytes packet(c_udpPacketHeaderBytes);
        buildUdpPacket({ { 0x0a000001, 40000 }, { 0x0a640002, 53 }, {} }, packet);
        sendFromFabric(entry, packet);
        EXPECT_TRUE(control.waitForCounter("cuminrelay_drops_total", "unknown_service", 1));
    }

    TEST_F(EntryProcessTest, aFlowReachesOneBackendServerThroughAnyVm)
    {
        RunningEntry first { "entry-1", localEndpoint(m_fabric) };
        RunningEntry second { "entry-2", localEndpoint(m_fabric) };
        const std::array members { first.member(), second.member() };
        for (RunningEntry* const entry : { &first, &second }) {
            ControlClient control { entry->process().entryRpc() };
            control.install({}, configuration(1));
            control.installMembers(members);
        }
        for (std::uint16_t port = 40000; port < 40020; ++port) {
            const Bytes opening = segmentOf(port, TH_SYN);
            const Bytes midstream = segmentOf(port, TH_ACK);
            sendFromFabric(port % 2 == 0 ? first : second, opening);
            const std::size_t backend = receivedBy(opening);
            ASSERT_LT(backend, c_backendServers) << port;
            sendFromFabric(first, midstream);
            EXPECT_EQ(receivedBy(midstream), backend) << port;
            sendFromFabric(second, midstream);
            EXPECT_EQ(receivedBy(midstream), backend) << port;
        }
        // Each owner also replicates its flows to the other VM over the replica RPC.
        ControlClient control { first.process().entryRpc() };
        EXPECT_TRUE(control.waitForCounter("cuminrelay_replica_exchanges_total", "", 1));
    }

    TEST_F(EntryProcessTest, flowsSurviveALeavingVm)
    {
        std::unique_ptr<RunningEntry> first = std::make_unique<RunningEntry>("entry-1", localEndpoint(m_fabric));
        RunningEntry second { "entry-2", localEndpoint(m_fabric) };
        ControlClient firstControl { first->process().entryRpc() };
        ControlClient secondControl { second.process().entryRpc() };
        std::array members { first->member(), second.member() };
        for (ControlClient* const control : { &firstControl, &secondControl }) {
            control->install({}, configuration(1));
            control->installMembers(members);
        }
        std::vector<std::size_t> backends;
        for (std::uint16_t port = 40000; port < 40020; ++port) {
            sendFromFabric(*first, segmentOf(port, TH_SYN));
            backends.push_back(receivedBy(segmentOf(port, TH_SYN)));
            ASSERT_LT(backends.back(), c_backendServers);
        }
        first->process().requestLeave();
        members[0].m_state = MemberState::Leaving;
        firstControl.installMembers(members);
        secondControl.installMembers(members);
        EXPECT_EQ(first->waitForExit(), ExitStatus::Success);

        members[0].m_state = MemberState::Unreachable;
        secondControl.installMembers(members);
        for (std::uint16_t port = 40000; port < 40020; ++port) {
            sendFromFabric(second, segmentOf(port, TH_ACK));
            EXPECT_EQ(receivedBy(segmentOf(port, TH_ACK)), backends[port - 40000]) << port;
        }
    }

    TEST_F(EntryProcessTest, replicaRpcIsForMembersOnly)
    {
        RunningEntry entry { "entry-1", localEndpoint(m_fabric) };
        const std::string replica = formatEndpoint(entry.process().replica());
        {
            capnp::EzRpcClient unknownClient { replica.c_str() };
            auto request = unknownClient.getMain<wire::FlowReplica>().exchangeRequest();
            request.setSender(Endpoint { c_loopback, 9 }.packed());
            EXPECT_THROW(request.send().wait(unknownClient.getWaitScope()), kj::Exception);
        }
        ControlClient control { entry.process().entryRpc() };
        EXPECT_EQ(control.counter("cuminrelay_refusals_total", "rpc_not_member"), 1U);

        // A connection from a member's address is accepted, but the sender of a batch must also be a member.
        control.installMembers(std::array { entry.member() });
        capnp::EzRpcClient peer { replica.c_str() };
        auto request = peer.getMain<wire::FlowReplica>().exchangeRequest();
        request.setSender(Endpoint { c_loopback, 9 }.packed());
        EXPECT_THROW(request.send().wait(peer.getWaitScope()), kj::Exception);
        auto accepted = peer.getMain<wire::FlowReplica>().exchangeRequest();
        accepted.setSender(entry.member().m_peers.packed());
        EXPECT_TRUE(accepted.send().wait(peer.getWaitScope()).getAccepted());
    }

    TEST_F(EntryProcessTest, malformedCallsAreRefused)
    {
        RunningEntry entry { "entry-1", localEndpoint(m_fabric) };
        capnp::EzRpcClient client { formatEndpoint(entry.process().entryRpc()).c_str() };
        wire::EntryControl::Client control = client.getMain<wire::EntryControl>();
        auto members = control.installMembersRequest();
        members.initMembers(1)[0].setState(77);
        EXPECT_THROW(members.send().wait(client.getWaitScope()), kj::Exception);
        auto reports = control.applyReportsRequest();
        reports.initReports(1)[0].setHealth(77);
        EXPECT_THROW(reports.send().wait(client.getWaitScope()), kj::Exception);
        EXPECT_EQ(control.statusRequest().send().wait(client.getWaitScope()).getStatus().getConfigVersion(), 0U);
    }

    TEST_F(EntryProcessTest, anEndpointInUseIsNamedInTheError)
    {
        RunningEntry entry { "entry-1", localEndpoint(m_fabric) };
        DefaultOnlyPlacement placement;
        UnlimitedAdmission admission;
        const EntrySettings freeSettings = RunningEntry::settings("entry-2", localEndpoint(m_fabric));
        const std::array usedEndpoints { entry.process().packets(), entry.process().peers(), entry.process().replica(),
            entry.process().entryRpc(), entry.process().metrics() };
        const std::array<Endpoint EntrySettings::*, 5> keys { &EntrySettings::m_packets, &EntrySettings::m_peers,
            &EntrySettings::m_replica, &EntrySettings::m_entryRpc, &EntrySettings::m_metrics };
        for (std::size_t i = 0; i < usedEndpoints.size(); ++i) {
            EntrySettings settings = freeSettings;
            settings.*keys[i] = usedEndpoints[i];
            EntryProcess second { settings, placement, admission };
            const Outcome<void> opened = second.open();
            ASSERT_FALSE(opened.has_value()) << i;
            EXPECT_NE(opened.error().m_message.find(formatEndpoint(usedEndpoints[i])), std::string::npos);
        }
    }

} // namespace
} // namespace cuminrelay
