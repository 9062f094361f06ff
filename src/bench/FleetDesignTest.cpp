#include "bench/DesignCatalog.h"

#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

namespace cuminrelay {
namespace {

    constexpr std::size_t c_flows = 300;
    constexpr std::uint32_t c_callerNetwork = 0x0b000000;
    constexpr Duration c_tickInterval = std::chrono::milliseconds { 50 };

    /// Invariants of both product designs, tested through FleetDesign. Each VM gets member views and configurations as
    /// an entry process does. The tests check only the routes of packets.
    class FleetDesignTest : public testing::TestWithParam<std::string_view>, private FleetNetwork {
    protected:
        FleetDesignTest()
            : m_profile(findFleetProfile("shirakaba").value())
            , m_configuration(makeConfiguration(m_profile))
        {
            for (std::uint32_t i = 0; i < m_profile.m_entryVms; ++i) {
                m_addresses.push_back({ 0x0a000001 + i, 4001 });
                m_isDown.push_back(false);
                Member member;
                member.m_name = "entry-" + std::to_string(i);
                member.m_zone = m_profile.m_zones[i % m_profile.m_zones.size()];
                member.m_peers = m_addresses.back();
                member.m_incarnation = 1;
                m_view.m_members.push_back(member);
            }
            m_design = makeDesign(GetParam(), m_profile, m_addresses, *this);
        }

        void startAll()
        {
            for (VmIndex vm = 0; vm < m_addresses.size(); ++vm) {
                m_design->start(vm, m_now);
                m_design->installConfiguration(vm, m_configuration, m_now);
            }
            publishMembers();
            exchangeMessages();
        }

        void publishMembers()
        {
            ++m_view.m_epoch;
            for (VmIndex vm = 0; vm < m_addresses.size(); ++vm) {
                if (!m_isDown[vm])
                    m_design->installMembers(vm, m_view, m_now);
            }
        }

        /// Ticks all VMs, so that they exchange batches and load messages.
        void exchangeMessages(Duration duration = std::chrono::seconds { 3 })
        {
            for (const Instant end = m_now + duration; m_now < end;) {
                m_now += c_tickInterval;
                for (VmIndex vm = 0; vm < m_addresses.size(); ++vm) {
                    if (!m_isDown[vm])
                        m_design->tick(vm, m_now);
                }
            }
        }

        void publish()
        {
            ++m_configuration.m_version.m_number;
            for (VmIndex vm = 0; vm < m_addresses.size(); ++vm) {
                if (!m_isDown[vm])
                    m_design->installConfiguration(vm, m_configuration, m_now);
            }
            exchangeMessages();
        }

        void kill(VmIndex vm)
        {
            m_design->stop(vm);
            m_isDown[vm] = true;
            m_view.m_members[vm].m_state = MemberState::Unreachable;
            publishMembers();
            exchangeMessages();
        }

        void restart(VmIndex vm)
        {
            m_isDown[vm] = false;
            m_view.m_members[vm].m_state = MemberState::Active;
            ++m_view.m_members[vm].m_incarnation;
            m_design->start(vm, m_now);
            m_design->installConfiguration(vm, m_configuration, m_now);
            publishMembers();
            exchangeMessages();
        }

        PacketSummary packetOf(std::size_t flow, PacketKind kind) const
        {
            PacketSummary packet;
            packet.m_flow.m_caller = { c_callerNetwork + static_cast<std::uint32_t>(flow), 40'000 };
            packet.m_flow.m_service = serviceOf(flow).m_address;
            packet.m_kind = kind;
            packet.m_sequence = 1;
            return packet;
        }

        /// Two of three flows are of the first service. Services are listed twice: for TCP, then for UDP.
        const Service& serviceOf(std::size_t flow) const { return m_configuration.m_services[flow % 3 == 0 ? 2 : 0]; }

        /// Sends a packet to the next running VM, round robin.
        FleetOutcome send(const PacketSummary& packet)
        {
            do
                m_nextVm = (m_nextVm + 1) % m_addresses.size();
            while (m_isDown[m_nextVm]);
            return m_design->route(m_nextVm, packet, m_now);
        }

        /// Opens a flow and sends its first data.
        FleetOutcome open(std::size_t flow)
        {
            const FleetOutcome opened = send(packetOf(flow, PacketKind::Opening));
            if (opened.m_kind == PacketActionKind::ToBackend) {
                m_openedBackends[flow] = opened.m_backend;
                sendData(flow);
            }
            return opened;
        }

        FleetOutcome sendData(std::size_t flow)
        {
            PacketSummary packet = packetOf(flow, PacketKind::Midstream);
            packet.m_payloadBytes = 100;
            packet.m_sequence += 1 + 100 * m_sentPackets[flow];
            packet.m_acknowledgment = ++m_sentPackets[flow];
            return send(packet);
        }

        void openAll()
        {
            for (std::size_t flow = 0; flow < c_flows; ++flow)
                ASSERT_EQ(open(flow).m_kind, PacketActionKind::ToBackend);
            exchangeMessages();
        }

        void expectUnchangedPlacement()
        {
            for (const auto& [flow, backend] : m_openedBackends) {
                const FleetOutcome outcome = sendData(flow);
                ASSERT_EQ(outcome.m_kind, PacketActionKind::ToBackend)
                    << reasonName(outcome.m_reason) << ", flow " << flow;
                ASSERT_EQ(outcome.m_backend, backend) << "flow " << flow;
            }
        }

        BackendServer& serverAt(Endpoint tunnel)
        {
            for (BackendServer& server : m_configuration.m_backendServers) {
                if (server.m_tunnel == tunnel)
                    return server;
            }
            ADD_FAILURE() << "no backend server at " << formatEndpoint(tunnel);
            return m_configuration.m_backendServers.front();
        }

        FleetProfile m_profile;
        Configuration m_configuration;
        std::map<std::size_t, Endpoint> m_openedBackends; ///< backend server of the opening packet, by flow
        std::unique_ptr<FleetDesign> m_design;
        Instant m_now { std::chrono::seconds { 100 } };

    private:
        bool reaches(VmIndex, VmIndex to) override { return !m_isDown[to]; }
        bool isRunning(VmIndex vm) const override { return !m_isDown[vm]; }
        VmIndex vmAt(Endpoint peerEndpoint) const override
        {
            return peerEndpoint.m_address - m_addresses.front().m_address;
        }

        std::vector<Endpoint> m_addresses;
        std::vector<bool> m_isDown;
        MemberView m_view;
        std::map<std::size_t, std::uint32_t> m_sentPackets; ///< number of data packets, by flow
        VmIndex m_nextVm = 0;
    };

    TEST_P(FleetDesignTest, flowsReachTheirServiceOnly)
    {
        startAll();
        openAll();
        for (const auto& [flow, backend] : m_openedBackends)
            EXPECT_EQ(serverAt(backend).m_labels.at("app"), serviceOf(flow).m_name);
    }

    TEST_P(FleetDesignTest, everyVmRoutesAFlowToItsBackendServer)
    {
        startAll();
        openAll();
        for (int round = 0; round < 10; ++round)
            expectUnchangedPlacement();
    }

    TEST_P(FleetDesignTest, flowsSurviveARestartOfEachVm)
    {
        startAll();
        openAll();
        for (VmIndex vm = 0; vm < m_profile.m_entryVms; ++vm) {
            kill(vm);
            expectUnchangedPlacement();
            restart(vm);
            expectUnchangedPlacement();
        }
    }

    TEST_P(FleetDesignTest, flowsSurviveSelectorChanges)
    {
        startAll();
        openAll();
        for (BackendServer& server : m_configuration.m_backendServers) {
            std::string& tier = server.m_labels["tier"];
            tier = tier == "standby" ? "serving" : "standby";
            publish();
            expectUnchangedPlacement();
            tier = "serving";
        }
    }

    TEST_P(FleetDesignTest, aDrainingBackendServerKeepsItsFlowsAndGetsNoNewOnes)
    {
        startAll();
        openAll();
        const Endpoint draining = m_openedBackends.begin()->second;
        serverAt(draining).m_draining = true;
        publish();
        expectUnchangedPlacement();
        for (std::size_t flow = c_flows; flow < 2 * c_flows; ++flow) {
            ASSERT_EQ(open(flow).m_kind, PacketActionKind::ToBackend);
            ASSERT_NE(m_openedBackends[flow], draining);
        }
    }

    TEST_P(FleetDesignTest, newFlowsSpreadOverTheBackendServersOfTheirService)
    {
        startAll();
        openAll();
        std::map<std::string, std::set<Endpoint>> usedBackends;
        for (const auto& [flow, backend] : m_openedBackends)
            usedBackends[serviceOf(flow).m_name].insert(backend);
        for (const FleetProfile::ServiceSize& size : m_profile.m_services)
            EXPECT_EQ(usedBackends[size.m_name].size(), size.m_backendServers);
    }

    TEST_P(FleetDesignTest, packetsToAnUndeclaredServiceReachNoBackendServer)
    {
        startAll();
        PacketSummary packet = packetOf(0, PacketKind::Opening);
        packet.m_flow.m_service = { 0x0a02ffff, 443 };
        const FleetOutcome outcome = send(packet);
        EXPECT_NE(outcome.m_kind, PacketActionKind::ToBackend);
        EXPECT_EQ(outcome.m_reason, Reason::UnknownService);
    }

    TEST_P(FleetDesignTest, aVmWithoutConfigurationDropsMidstreamPackets)
    {
        startAll();
        openAll();
        m_design->start(0, m_now);
        for (std::size_t flow = 0; flow < c_flows; ++flow) {
            const FleetOutcome outcome = m_design->route(0, packetOf(flow, PacketKind::Midstream), m_now);
            EXPECT_EQ(outcome.m_kind, PacketActionKind::Drop);
        }
    }

    TEST_P(FleetDesignTest, anOlderConfigurationIsIgnored)
    {
        startAll();
        const Configuration older = m_configuration;
        serverAt(m_configuration.m_backendServers.front().m_tunnel).m_draining = true;
        publish();
        for (VmIndex vm = 0; vm < m_profile.m_entryVms; ++vm)
            m_design->installConfiguration(vm, older, m_now);
        openAll();
        for (const auto& [flow, backend] : m_openedBackends)
            ASSERT_NE(backend, older.m_backendServers.front().m_tunnel) << "flow " << flow;
    }

    INSTANTIATE_TEST_SUITE_P(ProductDesigns, FleetDesignTest, testing::Values("owner", "carried"),
        [](const testing::TestParamInfo<std::string_view>& info) { return std::string { info.param }; });

} // namespace
} // namespace cuminrelay
