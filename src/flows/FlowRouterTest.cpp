#include "flows/FlowRouter.h"

#include <gtest/gtest.h>
#include <initializer_list>
#include <map>
#include <memory>
#include <string_view>

namespace cuminrelay {
namespace {

    constexpr Endpoint c_service { 0x0a020001, 443 };
    constexpr Instant c_start { std::chrono::seconds { 1 } };

    /// Places all flows on one backend server, or on their defaults when none is set.
    class FixedPlacement final : public PlacementPolicy {
    public:
        std::optional<Endpoint> choose(const PlacementRequest& request, const BackendStatusTable&, Instant) override
        {
            return m_fixed ? m_fixed : request.m_default;
        }

        std::optional<Endpoint> m_fixed;
    };

    class FixedAdmission final : public AdmissionPolicy {
    public:
        Admission admit(std::span<const Endpoint>, const BackendStatusTable&, std::size_t, Instant) override
        {
            return m_result;
        }

        Admission m_result = Admission::Admitted;
    };

    Configuration makeConfiguration(std::uint64_t version, std::uint32_t backends)
    {
        Configuration configuration;
        configuration.m_version = ConfigVersion { version };
        configuration.m_zones = { "a" };
        Service service;
        service.m_name = "kanteisha";
        service.m_address = c_service;
        service.m_selector.m_requirements = { { "app", SelectorOperator::Equals, { "kanteisha" } } };
        configuration.m_services = { service };
        service.m_protocol = Protocol::Udp;
        configuration.m_services.push_back(service);
        for (std::uint32_t i = 0; i < backends; ++i) {
            BackendServer server;
            server.m_name = "kanteisha-" + std::to_string(i);
            server.m_zone = "a";
            server.m_tunnel = Endpoint { 0x0a010000 + i, 5555 };
            server.m_labels = { { "app", "kanteisha" } };
            configuration.m_backendServers.push_back(server);
        }
        return configuration;
    }

    /// Up to three entry VMs, in one zone by default. Delivers the packets and batches between them.
    class Fleet {
    public:
        struct Vm {
            Endpoint m_address;
            FixedPlacement m_placement;
            FixedAdmission m_admission;
            std::unique_ptr<FlowRouter> m_router;
        };

        explicit Fleet(std::size_t count, std::string_view zones = "aaa")
        {
            for (std::size_t i = 0; i < count; ++i) {
                m_vms.push_back(std::make_unique<Vm>());
                m_vms[i]->m_address = Endpoint { static_cast<std::uint32_t>(i + 1), 4001 };
                Member member;
                member.m_peers = m_vms[i]->m_address;
                member.m_zone = zones.substr(i, 1);
                member.m_incarnation = 1;
                m_view.m_members.push_back(member);
            }
            for (std::size_t i = 0; i < count; ++i)
                start(i);
            exchangeBatches();
        }

        void start(std::size_t index)
        {
            Vm& vm = *m_vms[index];
            vm.m_router = std::make_unique<FlowRouter>(
                vm.m_address, vm.m_placement, vm.m_admission, FlowRouter::Limits { 100'000 });
            vm.m_router->installConfiguration(makeConfiguration(1, 5), m_now);
            vm.m_router->installMembers(m_view, m_now);
        }

        void install(const Configuration& configuration)
        {
            for (const std::unique_ptr<Vm>& vm : m_vms) {
                if (vm->m_router)
                    vm->m_router->installConfiguration(configuration, m_now);
            }
        }

        /// Advances time in steps of 50 ms; in each, all VMs tick and exchange batches.
        void exchangeBatches(unsigned steps = 100)
        {
            for (unsigned step = 0; step < steps; ++step) {
                m_now += std::chrono::milliseconds { 50 };
                for (const std::unique_ptr<Vm>& from : m_vms) {
                    if (from->m_router)
                        from->m_router->tick(m_now);
                    for (const std::unique_ptr<Vm>& to : m_vms)
                        exchange(*from, *to);
                }
            }
        }

        /// Delivers a packet to a VM and returns the final action after all hops between VMs.
        PacketAction send(std::size_t index, PacketSummary packet)
        {
            for (unsigned hop = 0; hop < 8; ++hop) {
                PacketAction action;
                m_vms[index]->m_router->decide({ &packet, 1 }, { &action, 1 }, m_now);
                if (action.m_kind == PacketActionKind::ForwardToOwner)
                    packet.m_arrival = Arrival::ForwardToOwner;
                else if (action.m_kind == PacketActionKind::ForwardToPreviousOwner)
                    packet.m_arrival = Arrival::ForwardToPreviousOwner;
                else if (action.m_kind == PacketActionKind::RecordThenForward)
                    packet.m_arrival = Arrival::Record;
                else
                    return action;
                packet.m_recordedBackend = action.m_backend;
                packet.m_peer = m_vms[index]->m_address;
                ++packet.m_hops;
                index = action.m_target.m_address - 1;
            }
            return PacketAction {};
        }

        /// Restarts a VM without state. It is joining and sees the others as unreachable until setState().
        void join(std::size_t index)
        {
            MemberView alone = m_view;
            for (Member& member : alone.m_members)
                member.m_state = MemberState::Unreachable;
            alone.m_members[index].m_state = MemberState::Joining;
            ++m_view.m_members[index].m_incarnation;
            Vm& vm = *m_vms[index];
            vm.m_router = std::make_unique<FlowRouter>(
                vm.m_address, vm.m_placement, vm.m_admission, FlowRouter::Limits { 100'000 });
            vm.m_router->installConfiguration(makeConfiguration(1, 5), m_now);
            vm.m_router->installMembers(alone, m_now);
        }

        void setState(std::size_t index, MemberState state)
        {
            m_view.m_members[index].m_state = state;
            for (const std::unique_ptr<Vm>& vm : m_vms) {
                if (vm->m_router)
                    vm->m_router->installMembers(m_view, m_now);
            }
        }

        void kill(std::size_t index)
        {
            m_vms[index]->m_router.reset();
            setState(index, MemberState::Unreachable);
        }

        Vm& vm(std::size_t index) { return *m_vms[index]; }

        std::size_t ownerOf(const FlowKey& key) const
        {
            const OwnerMap map { m_view.m_members };
            return map.member(map.owners(bucketOf(hashFlow(key))).m_owner).m_address - 1;
        }

        Instant m_now = c_start;
        MemberView m_view { 1, {} };

    private:
        void exchange(Vm& from, Vm& to)
        {
            if (&from == &to || !from.m_router || !to.m_router)
                return;
            const ReplicaBatch batch = from.m_router->nextBatch(to.m_address, 256, m_now);
            if (!batch.empty() && to.m_router->acceptBatch(from.m_address, batch, m_now))
                from.m_router->confirmBatch(to.m_address, batch, m_now);
        }

        std::vector<std::unique_ptr<Vm>> m_vms;
    };

    PacketSummary packetOf(std::uint32_t caller, PacketKind kind)
    {
        PacketSummary packet;
        packet.m_flow = FlowKey { Endpoint { caller, 2000 }, c_service, Protocol::Tcp };
        packet.m_kind = kind;
        return packet;
    }

    constexpr std::uint32_t c_flows = 200;

    std::map<std::uint32_t, Endpoint> openFlows(Fleet& fleet)
    {
        std::map<std::uint32_t, Endpoint> placed;
        for (std::uint32_t caller = 1; caller <= c_flows; ++caller)
            placed[caller] = fleet.send(caller % 3, packetOf(caller, PacketKind::Opening)).m_backend;
        return placed;
    }

    void expectUnchangedPlacement(Fleet& fleet, std::size_t through, const std::map<std::uint32_t, Endpoint>& placed)
    {
        for (const auto& [caller, backend] : placed) {
            const PacketAction action = fleet.send(through, packetOf(caller, PacketKind::Midstream));
            EXPECT_EQ(action.m_kind, PacketActionKind::ToBackend) << caller;
            EXPECT_EQ(formatEndpoint(action.m_backend), formatEndpoint(backend)) << caller;
        }
    }

    /// The parameter selects placement of all flows on one backend server, so that most flows are overrides.
    class FlowRouterPlacement : public testing::TestWithParam<bool> {
    protected:
        FlowRouterPlacement()
        {
            for (std::size_t i = 0; GetParam() && i < 3; ++i)
                m_fleet.vm(i).m_placement.m_fixed = Endpoint { 0x0a010002, 5555 };
            // Opening packets soon after a start may be retransmissions, which stay on their default.
            m_fleet.m_now += std::chrono::milliseconds { 500 };
            while (m_fleet.m_now < c_start + std::chrono::seconds { 20 })
                m_fleet.exchangeBatches();
        }

        Fleet m_fleet { 3 };
    };

    TEST_P(FlowRouterPlacement, everyVmRoutesAFlowToItsBackendServer)
    {
        const std::map<std::uint32_t, Endpoint> placed = openFlows(m_fleet);
        for (std::size_t through = 0; through < 3; ++through)
            expectUnchangedPlacement(m_fleet, through, placed);
    }

    TEST_P(FlowRouterPlacement, aRetransmittedOpeningGoesToTheSameBackendServer)
    {
        const std::map<std::uint32_t, Endpoint> placed = openFlows(m_fleet);
        for (const auto& [caller, backend] : placed)
            EXPECT_EQ(m_fleet.send((caller + 1) % 3, packetOf(caller, PacketKind::Opening)).m_backend, backend);
    }

    TEST_P(FlowRouterPlacement, flowsSurviveAVmFailureWithoutAnyBatch)
    {
        const std::map<std::uint32_t, Endpoint> placed = openFlows(m_fleet);
        m_fleet.kill(0);
        expectUnchangedPlacement(m_fleet, 1, placed);
        expectUnchangedPlacement(m_fleet, 2, placed);
    }

    TEST_P(FlowRouterPlacement, flowsSurviveARestartWithoutState)
    {
        const std::map<std::uint32_t, Endpoint> placed = openFlows(m_fleet);
        ++m_fleet.m_view.m_members[1].m_incarnation;
        m_fleet.start(1);
        expectUnchangedPlacement(m_fleet, 1, placed);
        m_fleet.setState(1, MemberState::Active);
        m_fleet.exchangeBatches();
        expectUnchangedPlacement(m_fleet, 1, placed);
    }

    TEST_P(FlowRouterPlacement, flowsSurviveAConfigurationChangeAndThenAVmFailure)
    {
        const std::map<std::uint32_t, Endpoint> placed = openFlows(m_fleet);
        for (std::size_t i = 0; i < 3; ++i)
            EXPECT_TRUE(m_fleet.vm(i).m_router->installConfiguration(makeConfiguration(2, 4), m_fleet.m_now));
        expectUnchangedPlacement(m_fleet, 2, placed);
        m_fleet.kill(2);
        expectUnchangedPlacement(m_fleet, 0, placed);
    }

    TEST_P(FlowRouterPlacement, aLeavingVmIsDrainedOnceItHasHandedOver)
    {
        const std::map<std::uint32_t, Endpoint> placed = openFlows(m_fleet);
        m_fleet.vm(0).m_router->beginLeaving();
        EXPECT_FALSE(m_fleet.vm(0).m_router->drained());
        m_fleet.setState(0, MemberState::Leaving);
        expectUnchangedPlacement(m_fleet, 1, placed);
        m_fleet.exchangeBatches();
        EXPECT_TRUE(m_fleet.vm(0).m_router->drained());
        m_fleet.kill(0);
        expectUnchangedPlacement(m_fleet, 2, placed);
    }

    INSTANTIATE_TEST_SUITE_P(Placements, FlowRouterPlacement, testing::Bool());

    TEST(FlowRouter, unknownMidstreamPacketsAreDroppedWhileBothHoldersAreUnreachable)
    {
        Fleet fleet { 3 };
        const PacketSummary packet = packetOf(1, PacketKind::Midstream);
        fleet.kill(fleet.ownerOf(packet.m_flow));
        fleet.kill(fleet.ownerOf(packet.m_flow));
        const std::size_t last = fleet.ownerOf(packet.m_flow);
        EXPECT_EQ(fleet.send(last, packet).m_reason, Reason::UnknownFlowHolderUnreachable);
        fleet.m_now += std::chrono::milliseconds { 900 };
        EXPECT_EQ(fleet.send(last, packet).m_reason, Reason::UnknownFlowHolderUnreachable);
        fleet.exchangeBatches();
        EXPECT_EQ(fleet.send(last, packet).m_kind, PacketActionKind::ToBackend);
    }

    TEST(FlowRouter, aJoiningVmDoesNotTreatUnseenMembersAsPartitioned)
    {
        Fleet fleet { 3, "aab" };
        const std::map<std::uint32_t, Endpoint> placed = openFlows(fleet);
        fleet.setState(1, MemberState::Leaving);
        fleet.exchangeBatches();
        fleet.join(1);
        fleet.setState(1, MemberState::Joining);
        fleet.exchangeBatches(10);
        fleet.setState(1, MemberState::Active);
        fleet.exchangeBatches(20);
        expectUnchangedPlacement(fleet, 1, placed);
    }

    /// One VM in zone a and two in zone b, in a network partition.
    class FlowRouterPartition : public testing::Test {
    protected:
        FlowRouterPartition()
        {
            m_before = m_fleet.m_view;
            partitionZones();
            while (m_fleet.ownerOf(packetOf(m_caller, PacketKind::Opening).m_flow) != 0)
                ++m_caller;
            m_interimOwner = ownerOnOtherSide();
        }

        void install(std::size_t index, std::initializer_list<std::size_t> unreachable)
        {
            MemberView view = m_before;
            for (const std::size_t other : unreachable)
                view.m_members[other].m_state = MemberState::Unreachable;
            m_fleet.vm(index).m_router->installMembers(view, m_fleet.m_now);
        }

        void partitionZones()
        {
            install(0, { 1, 2 });
            install(1, { 0 });
            install(2, { 0 });
        }

        std::size_t ownerOnOtherSide() const
        {
            const OwnerMap map { std::span { m_before.m_members }.subspan(1) };
            const Bucket bucket = bucketOf(hashFlow(packetOf(m_caller, PacketKind::Opening).m_flow));
            return map.member(map.owners(bucket).m_owner).m_address - 1;
        }

        /// Advances time and ticks all VMs, without exchanging batches.
        void tickFor(Duration duration)
        {
            const Instant end = m_fleet.m_now + duration;
            while (m_fleet.m_now < end) {
                m_fleet.m_now += std::chrono::milliseconds { 100 };
                for (std::size_t i = 0; i < 3; ++i)
                    m_fleet.vm(i).m_router->tick(m_fleet.m_now);
            }
        }

        PacketAction openAtInterimOwner()
        {
            m_fleet.send(m_interimOwner, packetOf(m_caller, PacketKind::Opening));
            tickFor(std::chrono::seconds { 3 });
            return m_fleet.send(m_interimOwner, packetOf(m_caller, PacketKind::Opening));
        }

        Fleet m_fleet { 3, "abb" };
        MemberView m_before;
        std::uint32_t m_caller = 1;
        std::size_t m_interimOwner = 1;
    };

    TEST_F(FlowRouterPartition, anInterimOwnerPlacesOnlyARetransmittedOpening)
    {
        tickFor(std::chrono::seconds { 2 });
        const PacketSummary opening = packetOf(m_caller, PacketKind::Opening);
        EXPECT_EQ(m_fleet.send(m_interimOwner, opening).m_reason, Reason::OwnerPartitioned);
        EXPECT_EQ(m_fleet.send(m_interimOwner, opening).m_reason, Reason::OwnerPartitioned);
        tickFor(std::chrono::seconds { 3 });
        EXPECT_EQ(m_fleet.send(m_interimOwner, opening).m_kind, PacketActionKind::ToBackend);
    }

    TEST_F(FlowRouterPartition, aFlowOfAFailedInterimOwnerIsFoundAtItsReplica)
    {
        for (std::size_t i = 1; i < 3; ++i)
            m_fleet.vm(i).m_placement.m_fixed = Endpoint { 0x0a010002, 5555 };
        tickFor(std::chrono::seconds { 11 });
        m_interimOwner = ownerOnOtherSide();
        const PacketAction opened = openAtInterimOwner();
        ASSERT_EQ(opened.m_kind, PacketActionKind::ToBackend);

        const std::size_t replica = 3 - m_interimOwner;
        m_fleet.vm(m_interimOwner).m_router.reset();
        install(0, { m_interimOwner });
        install(replica, { m_interimOwner });
        const PacketAction found = m_fleet.send(0, packetOf(m_caller, PacketKind::Midstream));
        EXPECT_EQ(found.m_kind, PacketActionKind::ToBackend);
        EXPECT_EQ(formatEndpoint(found.m_backend), formatEndpoint(opened.m_backend));
    }

    TEST(FlowRouter, anOlderConfigurationIsIgnored)
    {
        Fleet fleet { 1 };
        EXPECT_TRUE(fleet.vm(0).m_router->installConfiguration(makeConfiguration(5, 3), fleet.m_now));
        EXPECT_FALSE(fleet.vm(0).m_router->installConfiguration(makeConfiguration(4, 5), fleet.m_now));
        EXPECT_EQ(fleet.vm(0).m_router->configVersion().m_number, 5U);
    }

    TEST(FlowRouter, aRefusedOpeningLeavesNoStateAndEstablishedFlowsContinue)
    {
        Fleet fleet { 1 };
        const PacketAction opened = fleet.send(0, packetOf(1, PacketKind::Opening));
        fleet.vm(0).m_admission.m_result = Admission::QueueFull;
        while (fleet.m_now < c_start + std::chrono::seconds { 12 })
            fleet.exchangeBatches();
        const PacketAction refused = fleet.send(0, packetOf(2, PacketKind::Opening));
        EXPECT_EQ(refused.m_kind, PacketActionKind::Refuse);
        EXPECT_EQ(refused.m_reason, Reason::AdmissionQueueFull);
        EXPECT_EQ(fleet.send(0, packetOf(1, PacketKind::Midstream)).m_backend, opened.m_backend);
    }

    TEST(FlowRouter, aPacketQueuedDuringAPauseIsDropped)
    {
        Fleet fleet { 2 };
        PacketSummary refused = packetOf(1, PacketKind::Datagram);
        refused.m_flow.m_protocol = Protocol::Udp;
        const std::size_t paused = fleet.ownerOf(refused.m_flow);
        // While the owner is paused, the other VM may take over and refuse the datagram; the owner must not forward it.
        fleet.m_now += std::chrono::seconds { 3 };
        const PacketAction late = fleet.send(paused, refused);
        EXPECT_EQ(late.m_kind, PacketActionKind::Drop);
        EXPECT_EQ(late.m_reason, Reason::StaleAfterPause);
        fleet.m_now += std::chrono::milliseconds { 50 };
        fleet.vm(paused).m_router->tick(fleet.m_now);
        EXPECT_EQ(fleet.send(paused, refused).m_reason, Reason::StaleAfterPause);
        // Packets that arrive later are routed.
        fleet.exchangeBatches();
        EXPECT_NE(fleet.send(paused, refused).m_reason, Reason::StaleAfterPause);
    }

    TEST(FlowRouter, aDatagramForwardedByTheInterimOwnerIsNotRefusedAfterAPause)
    {
        Fleet fleet { 2 };
        while (fleet.m_now < c_start + std::chrono::seconds { 20 })
            fleet.exchangeBatches();
        const PacketSummary datagram = packetOf(1, PacketKind::Datagram);
        const std::size_t paused = fleet.ownerOf(datagram.m_flow);
        const std::size_t interimOwner = 1 - paused;
        MemberView withoutPaused = fleet.m_view;
        withoutPaused.m_members[paused].m_state = MemberState::Unreachable;
        FlowRouter& other = *fleet.vm(interimOwner).m_router;
        other.installMembers(withoutPaused, fleet.m_now);
        const PacketAction forwarded = fleet.send(interimOwner, datagram);
        EXPECT_EQ(forwarded.m_kind, PacketActionKind::ToBackend);
        for (unsigned i = 0; i < 60; ++i) {
            fleet.m_now += std::chrono::milliseconds { 50 };
            other.tick(fleet.m_now);
        }
        other.installMembers(fleet.m_view, fleet.m_now);
        fleet.exchangeBatches();
        fleet.vm(paused).m_admission.m_result = Admission::QueueFull;
        const PacketAction repeated = fleet.send(paused, datagram);
        EXPECT_EQ(repeated.m_kind, PacketActionKind::ToBackend);
        EXPECT_EQ(repeated.m_backend, forwarded.m_backend);
    }

    /// Configuration version 2, in which one backend server is draining or no longer selected.
    Configuration withoutBackend(Endpoint tunnel, bool drains)
    {
        Configuration configuration = makeConfiguration(2, 5);
        for (BackendServer& server : configuration.m_backendServers) {
            if (server.m_tunnel != tunnel)
                continue;
            server.m_draining = drains;
            if (!drains)
                server.m_labels["app"] = "none";
        }
        return configuration;
    }

    class LeavingBackend : public testing::TestWithParam<std::tuple<bool, bool>> { };

    TEST_P(LeavingBackend, keepsItsDatagramsWhenTheirOwnerFails)
    {
        const auto [drains, exchanges] = GetParam();
        Fleet fleet { 2 };
        PacketSummary datagram = packetOf(1, PacketKind::Datagram);
        datagram.m_flow.m_protocol = Protocol::Udp;
        const std::size_t owner = fleet.ownerOf(datagram.m_flow);
        const std::size_t other = 1 - owner;
        const PacketAction opened = fleet.send(owner, datagram);
        ASSERT_EQ(opened.m_kind, PacketActionKind::ToBackend);
        fleet.install(withoutBackend(opened.m_backend, drains));
        if (exchanges)
            fleet.exchangeBatches();
        fleet.kill(owner);
        const PacketAction next = fleet.send(other, datagram);
        EXPECT_EQ(next.m_kind, PacketActionKind::ToBackend);
        EXPECT_EQ(next.m_backend, opened.m_backend);

        // New flows are placed elsewhere once c_leavingGrace has passed.
        fleet.exchangeBatches();
        const bool isFirst = opened.m_backend == makeConfiguration(1, 5).m_backendServers[0].m_tunnel;
        fleet.vm(other).m_placement.m_fixed = makeConfiguration(1, 5).m_backendServers[isFirst ? 1 : 0].m_tunnel;
        PacketSummary later = packetOf(2, PacketKind::Datagram);
        later.m_flow.m_protocol = Protocol::Udp;
        for (std::uint16_t port = 1; port < 200; ++port) {
            later.m_flow.m_caller.m_port = port;
            EXPECT_NE(fleet.send(other, later).m_backend, opened.m_backend);
        }
    }

    INSTANTIATE_TEST_SUITE_P(FlowRouter, LeavingBackend, testing::Combine(testing::Bool(), testing::Bool()));

    TEST(FlowRouter, aPacketOfAnUnknownServiceIsDropped)
    {
        Fleet fleet { 1 };
        PacketSummary packet = packetOf(1, PacketKind::Opening);
        packet.m_flow.m_service.m_port = 1;
        EXPECT_EQ(fleet.send(0, packet).m_reason, Reason::UnknownService);
    }

    TEST(FlowRouter, aStalledFlowIsResetAndAnIdleOneIsNot)
    {
        Fleet fleet { 1 };
        PacketSummary packet = packetOf(1, PacketKind::Opening);
        fleet.send(0, packet);
        packet.m_kind = PacketKind::Midstream;
        packet.m_payloadBytes = 100;
        packet.m_sequence = 1;
        PacketSummary idle = packetOf(2, PacketKind::Opening);
        fleet.send(0, idle);
        idle.m_kind = PacketKind::Midstream;
        bool wasReset = false;
        for (unsigned i = 0; i < 8; ++i) {
            wasReset = wasReset || fleet.send(0, packet).m_kind == PacketActionKind::ResetCaller;
            fleet.exchangeBatches();
        }
        EXPECT_TRUE(wasReset);
        EXPECT_EQ(fleet.send(0, idle).m_kind, PacketActionKind::ToBackend);
    }

} // namespace
} // namespace cuminrelay
