#include "affinity/TokenRouter.h"

#include "affinity/NullRouterObserver.h"
#include "placement/LeastWorkPlacement.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <string>
#include <utility>

namespace cuminrelay {
namespace {

    constexpr Endpoint c_feeds { 0xc6120001, 443 };
    constexpr Endpoint c_forms { 0xc6120001, 8080 };
    constexpr Instant c_start { std::chrono::seconds { 100 } };

    using std::chrono::milliseconds;

    AnnouncedBackend makeBackend(
        std::uint64_t identity, std::string_view zone = "a", std::string_view app = "kanteisha")
    {
        AnnouncedBackend backend;
        backend.m_identity = { identity };
        backend.m_startedAtUnixMs = identity;
        backend.m_server.m_name = "i-" + std::to_string(identity);
        backend.m_server.m_zone = zone;
        backend.m_server.m_tunnel = { 0x0a800000 + static_cast<std::uint32_t>(identity), 8080 };
        backend.m_server.m_slots = 2;
        backend.m_server.m_labels.emplace("app", app);
        return backend;
    }

    ServiceDeclarations makeDeclarations(std::uint64_t version)
    {
        const Selector selector { { { "app", SelectorOperator::Equals, { "kanteisha" } } } };
        ServiceDeclarations declarations;
        declarations.m_version = { version };
        declarations.m_services = { { "feeds", c_feeds, RequestKind::Idempotent, { { selector, 1 } } },
            { "forms", c_forms, RequestKind::NonIdempotent, { { selector, 1 } } } };
        declarations.m_healthChecks = { { selector, "/health" } };
        return declarations;
    }

    /// The first packet after the opening packet has the next number.
    constexpr std::uint32_t c_openingSequence = 9;

    PacketSummary makePacket(PacketKind kind, std::uint16_t port, Endpoint service = c_forms)
    {
        PacketSummary packet;
        packet.m_flow.m_caller = { 0x64400007, port };
        packet.m_flow.m_service = service;
        packet.m_kind = kind;
        packet.m_sequence = c_openingSequence;
        return packet;
    }

    /// The token of the backend server that a packet was forwarded to, as packets after the opening carry it.
    std::uint32_t settledToken(const PacketAction& action)
    {
        return tokenOf({ action.m_identity }).m_value;
    }

    /// Entry VM in zone a.
    struct Vm {
        /// startedAt: the VM knows nothing of contested flows that were opened before.
        explicit Vm(std::size_t backends = 3, Instant startedAt = {})
            : m_router({ "a", 100'000, std::chrono::seconds { 2 }, false, std::nullopt, {}, startedAt }, m_placement,
                m_observer)
        {
            m_now = std::max(c_start, startedAt);
            std::vector<AnnouncedBackend> announced;
            for (std::uint64_t i = 1; i <= backends; ++i)
                announced.push_back(makeBackend(i));
            m_router.backends().replaceAll(announced, m_now);
            m_router.applyDeclarations(makeDeclarations(1), m_now);
            confirmState();
        }

        /// Records that the state of this VM is the store's as of now.
        void confirmState() { m_router.setStateConfirmed(m_now, false); }

        PacketAction send(const PacketSummary& packet)
        {
            std::array<PacketAction, 1> actions;
            m_router.decide({ &packet, 1 }, actions, m_now);
            return actions[0];
        }

        PacketAction open(std::uint16_t port, Endpoint service = c_forms, std::uint8_t retransmissions = 0)
        {
            PacketSummary packet = makePacket(PacketKind::Opening, port, service);
            packet.m_retransmissions = retransmissions;
            return send(packet);
        }

        /// Sends data of a flow, with a token.
        PacketAction data(std::uint16_t port, std::uint32_t token, std::uint32_t sequence,
            std::uint32_t acknowledgment = 1, Endpoint service = c_forms)
        {
            PacketSummary packet = makePacket(PacketKind::Midstream, port, service);
            packet.m_carriedToken = token;
            packet.m_sequence = sequence;
            packet.m_acknowledgment = acknowledgment;
            packet.m_payloadBytes = 100;
            return send(packet);
        }

        void wait(Duration duration)
        {
            m_now += duration;
            m_router.tick(m_now);
        }

        TrackedBackend& backend(std::uint32_t token) { return *m_router.backends().find(BackendToken { token }); }

        /// The backend server that a packet was forwarded to.
        TrackedBackend& backendOf(const PacketAction& action) { return backend(settledToken(action)); }

        LeastWorkPlacement m_placement;
        NullRouterObserver m_observer;
        TokenRouter m_router;
        Instant m_now = c_start;
    };

    TEST(TokenRouterTest, anyVmWithTheBackendListContinuesAFlow)
    {
        Vm first;
        const PacketAction opened = first.open(1);
        ASSERT_EQ(opened.m_kind, PacketActionKind::ToBackend);
        Vm second; // without a record of the flow
        const PacketAction continued = second.data(1, opened.m_token, 10);
        EXPECT_EQ(continued.m_kind, PacketActionKind::ToBackend);
        EXPECT_EQ(continued.m_target, opened.m_target);
        EXPECT_EQ(continued.m_identity, opened.m_identity);
        EXPECT_EQ(continued.m_token, settledToken(opened));
    }

    TEST(TokenRouterTest, vmWithoutConfigurationRefusesAndResetsNothing)
    {
        NullRouterObserver observer;
        LeastWorkPlacement placement;
        TokenRouter router { { "a" }, placement, observer };
        for (const PacketKind kind :
            { PacketKind::Opening, PacketKind::Midstream, PacketKind::HalfClose, PacketKind::Reset }) {
            const PacketSummary packet = makePacket(kind, 1);
            std::array<PacketAction, 1> actions;
            router.decide({ &packet, 1 }, actions, c_start);
            EXPECT_EQ(actions[0].m_kind, PacketActionKind::Drop);
        }
    }

    TEST(TokenRouterTest, unknownServiceIsRefusedOnlyWithCurrentDeclarations)
    {
        const Endpoint unknown { 0xc6120009, 443 };
        for (const bool hasNewer : { true, false }) {
            Vm vm;
            EXPECT_EQ(vm.open(1, unknown).m_kind, PacketActionKind::Refuse);
            vm.m_router.setStateConfirmed(hasNewer ? vm.m_now : vm.m_now - std::chrono::seconds { 3 }, hasNewer);
            EXPECT_EQ(vm.open(1, unknown).m_kind, PacketActionKind::Drop);
            EXPECT_EQ(vm.data(1, 7, 10, 1, unknown).m_kind, PacketActionKind::Drop);
        }
    }

    // Another VM has opened the flow under declarations that this VM does not have yet (review/5): a VM whose word
    // comes from a reader that is partitioned from the store must not reset it.
    TEST(TokenRouterTest, flowOnAServiceOfLaterDeclarationsIsNotReset)
    {
        Vm vm;
        const Endpoint added { 0xc6120009, 443 };
        const std::uint32_t token = tokenOf({ 2 }).m_value;
        for (int copy = 0; copy < 8; ++copy) {
            vm.wait(milliseconds { 400 });
            EXPECT_EQ(vm.data(1, token, 10, 1, added).m_kind, PacketActionKind::Drop) << "copy " << copy;
        }
        EXPECT_TRUE(vm.m_router.takeConfirmationRequest());
        ServiceDeclarations later = makeDeclarations(2);
        later.m_services.push_back({ "added", added, RequestKind::Idempotent, later.m_services[0].m_selectors });
        vm.m_router.applyDeclarations(later, vm.m_now);
        EXPECT_EQ(vm.data(1, token, 10, 1, added).m_kind, PacketActionKind::ToBackend);
    }

    TEST(TokenRouterTest, flowOnAnUnknownServiceIsResetOnceTheStateIsConfirmedAfterItsFirstPacket)
    {
        Vm vm;
        const Endpoint unknown { 0xc6120009, 443 };
        EXPECT_EQ(vm.data(1, 7, 10, 1, unknown).m_kind, PacketActionKind::Drop);
        vm.wait(milliseconds { 1 });
        vm.confirmState();
        vm.wait(milliseconds { 199 });
        EXPECT_EQ(vm.data(1, 7, 10, 1, unknown).m_kind, PacketActionKind::ResetCaller);
        EXPECT_EQ(vm.data(2, 7, 10, 1, unknown).m_kind, PacketActionKind::Drop); // may have been opened since
    }

    TEST(TokenRouterTest, flowThatPassedThisVmIsResetAtOnceWhenItsServiceIsRemoved)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        vm.data(1, opened.m_token, 10);
        ServiceDeclarations later = makeDeclarations(2);
        later.m_services.pop_back();
        vm.m_router.applyDeclarations(later, vm.m_now);
        EXPECT_EQ(vm.data(1, opened.m_token, 110).m_kind, PacketActionKind::ResetCaller);
        EXPECT_EQ(vm.data(1, opened.m_token, 110).m_kind, PacketActionKind::ResetCaller); // the first may be lost
    }

    // A backend server that left may have started again under its identity, and taken the flow, without this VM
    // knowing.
    TEST(TokenRouterTest, flowOfADepartedBackendIsNotResetByAnOutdatedState)
    {
        Vm vm;
        AnnouncedBackend backend = vm.backend(tokenOf({ 2 }).m_value).m_announced;
        backend.m_server.m_draining = true;
        vm.m_router.backends().announce(backend, vm.m_now);
        vm.m_router.backends().withdraw(backend.m_identity, vm.m_now);
        vm.confirmState();
        for (int copy = 0; copy < 8; ++copy) {
            vm.wait(milliseconds { 400 });
            EXPECT_EQ(vm.data(1, tokenOf({ 2 }).m_value, 10).m_kind, PacketActionKind::Drop) << "copy " << copy;
        }
        backend.m_server.m_draining = false;
        ++backend.m_startedAtUnixMs;
        vm.m_router.backends().announce(backend, vm.m_now);
        EXPECT_EQ(vm.data(1, tokenOf({ 2 }).m_value, 10).m_kind, PacketActionKind::ToBackend);
    }

    TEST(TokenRouterTest, declarationsThatAreNotNewerAreNotApplied)
    {
        Vm vm;
        EXPECT_TRUE(vm.m_router.applyDeclarations(makeDeclarations(5), vm.m_now));
        EXPECT_FALSE(vm.m_router.applyDeclarations(makeDeclarations(4), vm.m_now));
        EXPECT_FALSE(vm.m_router.applyDeclarations(makeDeclarations(5), vm.m_now));
        EXPECT_EQ(vm.m_router.configVersion().m_number, 5u);
    }

    TEST(TokenRouterTest, packetWithUnknownTokenIsDroppedAndNotReset)
    {
        Vm vm;
        const PacketAction action = vm.data(1, tokenOf({ 999 }).m_value, 10);
        EXPECT_EQ(action.m_kind, PacketActionKind::Drop);
        EXPECT_EQ(action.m_reason, Reason::UnknownBackend);
    }

    TEST(TokenRouterTest, aDrainingBackendServerKeepsItsFlowsAndGetsNoNewOnes)
    {
        Vm vm { 2 };
        const PacketAction opened = vm.open(1);
        AnnouncedBackend draining = vm.backendOf(opened).m_announced;
        draining.m_server.m_draining = true;
        vm.m_router.backends().announce(draining, vm.m_now);
        EXPECT_EQ(vm.data(1, opened.m_token, 10).m_target, opened.m_target);
        for (std::uint16_t port = 2; port < 40; ++port)
            EXPECT_NE(vm.open(port).m_target, opened.m_target);
    }

    /// An entry of another writer: a later start at the address of a backend server in use, of another service.
    AnnouncedBackend makeStrayEntry(const Vm& vm, std::uint32_t token)
    {
        AnnouncedBackend stray = makeBackend(77, "a", "staging");
        stray.m_server.m_tunnel = vm.m_router.backends().find(BackendToken { token })->m_announced.m_server.m_tunnel;
        return stray;
    }

    ServiceDeclarations makeDeclarationsWithStaging(std::uint64_t version)
    {
        ServiceDeclarations declarations = makeDeclarations(version);
        const Selector selector { { { "app", SelectorOperator::Equals, { "staging" } } } };
        declarations.m_services.push_back(
            { "staging", { 0xc6120009, 443 }, RequestKind::NonIdempotent, { { selector, 1 } } });
        return declarations;
    }

    // All VMs took the address for that of a new backend server, and reset the flows of the live one (review/2).
    TEST(TokenRouterTest, anEntryOfAServiceThatNoDeclarationNamesTakesNoAddress)
    {
        for (const bool isListed : { false, true }) {
            for (const bool isDraining : { false, true }) {
                Vm vm { 1 };
                const PacketAction opened = vm.open(1);
                AnnouncedBackend stray = makeStrayEntry(vm, settledToken(opened));
                stray.m_server.m_draining = isDraining;
                if (isListed)
                    vm.m_router.replaceBackends(std::vector { makeBackend(1), stray }, vm.m_now);
                else
                    vm.m_router.announceBackend(stray, vm.m_now);
                EXPECT_EQ(vm.data(1, opened.m_token, 10).m_identity, opened.m_identity);
                EXPECT_EQ(vm.open(2).m_identity, opened.m_identity);
                EXPECT_EQ(vm.m_router.unnamedBackends(), 1u);
                vm.m_router.withdrawBackend(stray.m_identity, vm.m_now);
                EXPECT_EQ(vm.open(3).m_identity, opened.m_identity);
                EXPECT_EQ(vm.m_router.unnamedBackends(), 0u);
            }
        }
    }

    TEST(TokenRouterTest, anEntryCountsOnceDeclarationsNameItsService)
    {
        const Endpoint staging { 0xc6120009, 443 };
        for (const bool isDeclaredFirst : { false, true }) {
            Vm vm;
            if (isDeclaredFirst)
                vm.m_router.applyDeclarations(makeDeclarationsWithStaging(2), vm.m_now);
            vm.m_router.announceBackend(makeBackend(77, "a", "staging"), vm.m_now);
            if (!isDeclaredFirst)
                vm.m_router.applyDeclarations(makeDeclarationsWithStaging(2), vm.m_now);
            EXPECT_EQ(vm.open(1, staging).m_identity, 77u);
        }
    }

    TEST(TokenRouterTest, backendsThatAreListedBeforeTheFirstDeclarationsCountOnceThoseArrive)
    {
        NullRouterObserver observer;
        LeastWorkPlacement placement;
        TokenRouter router { { "a" }, placement, observer };
        router.replaceBackends(std::vector { makeBackend(1), makeBackend(2) }, c_start);
        EXPECT_FALSE(router.isConfigured());
        router.applyDeclarations(makeDeclarations(1), c_start);
        EXPECT_TRUE(router.isConfigured());
        EXPECT_EQ(router.backends().size(), 2u);
    }

    TEST(TokenRouterTest, aBackendWhoseEntryNamesAnUnknownServiceKeepsItsFlowsAndGetsNoNewOnes)
    {
        for (const bool isListed : { false, true }) {
            Vm vm { 2 };
            const PacketAction opened = vm.open(1);
            AnnouncedBackend changed = makeBackend(opened.m_identity, "a", "staging");
            if (isListed)
                vm.m_router.replaceBackends(std::vector { makeBackend(3 - opened.m_identity), changed }, vm.m_now);
            else
                vm.m_router.announceBackend(changed, vm.m_now);
            EXPECT_EQ(vm.data(1, opened.m_token, 10).m_target, opened.m_target);
            for (std::uint16_t port = 2; port < 20; ++port)
                EXPECT_NE(vm.open(port).m_target, opened.m_target);
            vm.m_router.announceBackend(makeBackend(opened.m_identity), vm.m_now);
            bool isUsed = false;
            for (std::uint16_t port = 20; port < 40; ++port)
                isUsed = isUsed || vm.open(port).m_target == opened.m_target;
            EXPECT_TRUE(isUsed);
        }
    }

    /// Two backend servers each in the zones a and b.
    struct EvacuationVm : Vm {
        EvacuationVm()
            : Vm(0)
        {
            const std::array announced { makeBackend(1, "a"), makeBackend(2, "a"), makeBackend(3, "b"),
                makeBackend(4, "b") };
            m_router.replaceBackends(announced, m_now);
        }

        void evacuate(const std::vector<std::string>& zones)
        {
            std::vector<ZoneHash> hashes;
            hashes.reserve(zones.size());
            for (const std::string& zone : zones)
                hashes.push_back(hashZone(zone));
            m_router.setEvacuatedZones(hashes, m_now);
        }

        std::string_view zoneOf(const PacketAction& action)
        {
            return action.m_kind == PacketActionKind::ToBackend
                ? std::string_view { backendOf(action).m_announced.m_server.m_zone }
                : std::string_view {};
        }
    };

    TEST(TokenRouterEvacuationTest, newFlowsAvoidAnEvacuatedZoneAndEstablishedOnesStay)
    {
        EvacuationVm vm;
        const PacketAction before = vm.open(1);
        ASSERT_EQ(vm.zoneOf(before), "a");
        vm.data(1, before.m_token, 10);
        vm.evacuate({ "a" });
        EXPECT_EQ(vm.data(1, before.m_token, 110).m_target, before.m_target);
        for (std::uint16_t port = 2; port < 40; ++port)
            EXPECT_EQ(vm.zoneOf(vm.open(port)), "b");
        vm.evacuate({});
        EXPECT_EQ(vm.zoneOf(vm.open(41)), "a");
    }

    // The backend server that was chosen for the first copy must not get the later ones, whether it is late or not.
    TEST(TokenRouterEvacuationTest, retransmittedOpeningsLeaveAnEvacuatedZone)
    {
        for (const milliseconds delay : { milliseconds { 20 }, milliseconds { 200 } }) {
            EvacuationVm vm;
            ASSERT_EQ(vm.zoneOf(vm.open(1)), "a");
            vm.evacuate({ "a" });
            vm.wait(delay);
            EXPECT_EQ(vm.zoneOf(vm.open(1, c_forms, 1)), "b");
        }
    }

    TEST(TokenRouterEvacuationTest, aServiceWhoseZonesAreAllEvacuatedIsRefusedAtOnce)
    {
        EvacuationVm vm;
        vm.evacuate({ "a", "b" });
        const PacketAction refused = vm.open(1);
        EXPECT_EQ(refused.m_kind, PacketActionKind::Refuse);
        EXPECT_EQ(refused.m_reason, Reason::ZoneEvacuated);
        vm.evacuate({ "b" });
        EXPECT_EQ(vm.zoneOf(vm.open(2)), "a");
    }

    // Unresponsive and expired backend servers elsewhere come before those of an evacuated zone.
    TEST(TokenRouterEvacuationTest, noFallbackLeadsToAnEvacuatedZone)
    {
        EvacuationVm vm;
        vm.evacuate({ "a" });
        vm.m_router.withdrawBackend({ 3 }, vm.m_now);
        vm.m_router.withdrawBackend({ 4 }, vm.m_now);
        EXPECT_EQ(vm.zoneOf(vm.open(1)), "b");
        vm.wait(c_expiredEntryGrace);
        const PacketAction refused = vm.open(2);
        EXPECT_EQ(refused.m_kind, PacketActionKind::Refuse);
        EXPECT_EQ(refused.m_reason, Reason::ZoneEvacuated);
    }

    // A VM that has just started must not place flows in a zone whose evacuation it does not know yet.
    TEST(TokenRouterEvacuationTest, nothingIsPlacedBeforeTheEvacuationsAreKnown)
    {
        NullRouterObserver observer;
        LeastWorkPlacement placement;
        TokenRouter router { { "a", 100, std::chrono::seconds { 2 }, true }, placement, observer };
        router.applyDeclarations(makeDeclarations(1), c_start);
        const std::array announced { makeBackend(1) };
        router.replaceBackends(announced, c_start);
        const PacketSummary packet = makePacket(PacketKind::Opening, 1);
        std::array<PacketAction, 1> actions;
        router.decide({ &packet, 1 }, actions, c_start);
        EXPECT_EQ(actions[0].m_reason, Reason::NotConfigured);
        router.setEvacuatedZones({}, c_start);
        router.decide({ &packet, 1 }, actions, c_start);
        EXPECT_EQ(actions[0].m_kind, PacketActionKind::ToBackend);
    }

    TEST(TokenRouterTest, expiredBackendsAreUsedDuringTheGracePeriod)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        vm.m_router.backends().replaceAll({}, vm.m_now); // entries lost in a store outage
        EXPECT_EQ(vm.open(2).m_kind, PacketActionKind::ToBackend);
        vm.wait(c_expiredEntryGrace / 2);
        EXPECT_EQ(vm.data(1, opened.m_token, 10).m_kind, PacketActionKind::ToBackend);
        vm.wait(c_expiredEntryGrace);
        EXPECT_EQ(vm.open(3).m_kind, PacketActionKind::Refuse);
        // Without a record of the flow, which was idle: reset once the state is confirmed.
        EXPECT_EQ(vm.data(1, opened.m_token, 200).m_kind, PacketActionKind::Drop);
        vm.wait(milliseconds { 200 });
        vm.confirmState();
        EXPECT_EQ(vm.data(1, opened.m_token, 200).m_kind, PacketActionKind::ResetCaller);
    }

    TEST(TokenRouterTest, expiredBackendThatAnswersKeepsItsFlows)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        vm.m_router.backends().replaceAll({}, vm.m_now);
        std::uint32_t acknowledgment = 1;
        for (int i = 0; i < 50; ++i) {
            vm.wait(milliseconds { 100 });
            EXPECT_EQ(vm.data(1, opened.m_token, 10 + 100 * static_cast<std::uint32_t>(i), ++acknowledgment).m_kind,
                PacketActionKind::ToBackend);
        }
    }

    TEST(TokenRouterTest, retransmittedOpeningStaysWhileTheBackendAnswers)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        vm.wait(milliseconds { 100 });
        vm.m_router.recordProbe(tokenOf({ opened.m_identity }), ProbeOutcome::Answered, vm.m_now);
        vm.wait(milliseconds { 100 });
        EXPECT_EQ(vm.open(1, c_forms, 1).m_target, opened.m_target);
    }

    // The answer may have been lost (review/1). A second backend server would compete for the flow: both repeat their
    // answers for seconds, and the caller's packets carry the token of the last one.
    TEST(TokenRouterTest, oneMissingAnswerDoesNotSendTheOpeningToASecondBackend)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        vm.wait(milliseconds { 200 });
        EXPECT_EQ(vm.open(1, c_forms, 1).m_target, opened.m_target);
        EXPECT_EQ(vm.m_router.contestedFlows().size(), 0u);
        for (std::uint16_t port = 2; port < 40; ++port)
            EXPECT_NE(vm.open(port).m_target, opened.m_target);
    }

    TEST(TokenRouterTest, retransmittedOpeningLeavesAnUnresponsiveBackend)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        std::uint16_t otherPort = 2; // of another flow at the same backend server
        while (vm.open(otherPort).m_target != opened.m_target)
            ++otherPort;
        vm.wait(milliseconds { 200 });
        vm.open(1, c_forms, 1);
        const PacketAction other = vm.open(otherPort, c_forms, 1);
        EXPECT_EQ(other.m_kind, PacketActionKind::ToBackend);
        EXPECT_NE(other.m_target, opened.m_target); // two openings are missing an answer
        vm.wait(milliseconds { 400 });
        const PacketAction second = vm.open(1, c_forms, 2);
        EXPECT_EQ(second.m_kind, PacketActionKind::ToBackend);
        EXPECT_NE(second.m_target, opened.m_target);
        for (std::uint16_t port = 100; port < 140; ++port)
            EXPECT_NE(vm.open(port).m_target, opened.m_target);
    }

    TEST(TokenRouterTest, duplicatedOpeningGoesToTheSameBackend)
    {
        for (const std::uint8_t retransmissions : { 0, 1 }) {
            Vm vm;
            const PacketAction opened = vm.open(1);
            vm.wait(milliseconds { 5 });
            EXPECT_EQ(vm.open(1, c_forms, retransmissions).m_target, opened.m_target);
        }
    }

    TEST(TokenRouterTest, reusedPortOpensANewFlow)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        vm.data(1, opened.m_token, 10);
        AnnouncedBackend draining = vm.backendOf(opened).m_announced;
        draining.m_server.m_draining = true;
        vm.m_router.backends().announce(draining, vm.m_now);
        PacketSummary again = makePacket(PacketKind::Opening, 1);
        again.m_sequence = 70'000;
        EXPECT_NE(vm.send(again).m_target, opened.m_target);
    }

    /// Opens a flow whose first backend server misses two copies, so that the third goes to another.
    std::pair<PacketAction, PacketAction> openTwice(Vm& vm, std::uint16_t port)
    {
        const PacketAction first = vm.open(port);
        vm.wait(milliseconds { 200 });
        vm.open(port, c_forms, 1);
        vm.wait(milliseconds { 400 });
        return { first, vm.open(port, c_forms, 2) };
    }

    // Two backend servers have answered the opening packet. The caller's packets carry the token of the last answer,
    // but the flow is open at the backend server whose answer the caller acknowledged first.
    TEST(TokenRouterTest, flowWithTwoAnswersStaysAtItsFirstToken)
    {
        Vm vm;
        const auto [first, second] = openTwice(vm, 1);
        ASSERT_NE(first.m_token, second.m_token);
        EXPECT_EQ(vm.data(1, first.m_token, 10).m_target, first.m_target);
        const PacketAction later = vm.data(1, second.m_token, 110);
        EXPECT_EQ(later.m_target, first.m_target);
        EXPECT_EQ(later.m_token, settledToken(first)); // so that the next packets carry the right token again
    }

    // An earlier transmission of the opening packet went through another VM, whose backend server answers late. The
    // caller's packets carry its token from then on, but the flow is open at the backend server chosen by this VM.
    TEST(TokenRouterTest, flowOpenedHereIgnoresTheTokenOfALaterAnswer)
    {
        Vm vm;
        const PacketAction opened = vm.open(1, c_forms, 1);
        EXPECT_EQ(vm.data(1, opened.m_token, 10).m_target, opened.m_target);
        const std::uint32_t other
            = CarriedToken::encodeOpening(tokenOf({ opened.m_identity % 3 + 1 }), false, vm.m_now.time_since_epoch());
        const PacketAction later = vm.data(1, other, 110);
        EXPECT_EQ(later.m_target, opened.m_target);
        EXPECT_EQ(later.m_token, settledToken(opened));
    }

    // The backend server that lost repeats its answer for 11 s. The record of an idle flow is gone by then (review/1).
    TEST(TokenRouterTest, contestedFlowStaysWhereItIsOpenAfterAPause)
    {
        for (const bool opensAtFirst : { true, false }) {
            Vm vm;
            const auto [first, second] = openTwice(vm, 1);
            const PacketAction& winner = opensAtFirst ? first : second;
            const PacketAction& loser = opensAtFirst ? second : first;
            EXPECT_EQ(vm.data(1, winner.m_token, 10).m_target, winner.m_target);
            for (int i = 0; i < 120; ++i)
                vm.wait(milliseconds { 100 });
            const PacketAction later = vm.data(1, loser.m_token, 110);
            EXPECT_EQ(later.m_target, winner.m_target);
            EXPECT_EQ(later.m_token, settledToken(winner));
        }
    }

    /// Delivers what one VM says of contested flows to another.
    void exchangeContestedFlows(Vm& from, Vm& to)
    {
        for (const ContestedFlowReport& flow : from.m_router.contestedFlows().takeForMessage(6, from.m_now))
            to.m_router.contestedFlows().apply(flow, to.m_now);
    }

    TEST(TokenRouterTest, contestedFlowStaysWhereItIsOpenAfterAChangeOfTheRotation)
    {
        Vm vm;
        const auto [first, second] = openTwice(vm, 1);
        vm.data(1, second.m_token, 10);
        Vm next;
        exchangeContestedFlows(vm, next);
        const PacketAction later = next.data(1, first.m_token, 110);
        EXPECT_EQ(later.m_target, second.m_target);
        EXPECT_EQ(later.m_token, settledToken(second));
    }

    // The rotation changes before the flow is open: the VM that gets the first packet after the opening packet decides.
    TEST(TokenRouterTest, contestedFlowThatOpensThroughAnotherVmStaysWhereItIsOpen)
    {
        Vm vm;
        const auto [first, second] = openTwice(vm, 1);
        Vm next;
        exchangeContestedFlows(vm, next);
        EXPECT_EQ(next.data(1, second.m_token, 10).m_target, second.m_target);
        EXPECT_EQ(next.data(1, first.m_token, 110).m_target, second.m_target);
        exchangeContestedFlows(next, vm);
        EXPECT_EQ(vm.data(1, first.m_token, 210).m_target, second.m_target);
    }

    // The copies before may have reached another VM, which chose another backend server.
    TEST(TokenRouterTest, flowOpenedHereByACopyIsContested)
    {
        Vm vm;
        const PacketAction opened = vm.open(1, c_forms, 1);
        EXPECT_EQ(vm.data(1, opened.m_token, 10).m_target, opened.m_target);
        const std::uint32_t other
            = CarriedToken::encodeOpening(tokenOf({ opened.m_identity % 3 + 1 }), false, vm.m_now.time_since_epoch());
        for (int i = 0; i < 120; ++i)
            vm.wait(milliseconds { 100 });
        EXPECT_EQ(vm.data(1, other, 110).m_target, opened.m_target);
    }

    // This VM has no record of the flow's opening packet.
    TEST(TokenRouterTest, flowOpenedElsewhereFollowsItsToken)
    {
        Vm vm;
        vm.data(1, tokenOf({ 1 }).m_value, 10);
        EXPECT_EQ(vm.data(1, tokenOf({ 2 }).m_value, 110).m_identity, 2u);
    }

    // The VMs that recorded a contested flow were restarted one after the other (review/8): its packets went to the
    // backend server that lost, which gives up after seconds and resets the flow then.
    TEST(TokenRouterTest, contestedFlowOutlivesTheVmsThatRecordedIt)
    {
        for (const bool opensAtFirst : { true, false }) {
            Vm recorder;
            const auto [first, second] = openTwice(recorder, 1);
            const PacketAction& winner = opensAtFirst ? first : second;
            const PacketAction& loser = opensAtFirst ? second : first;
            recorder.data(1, winner.m_token, 10);
            const ContestedFlows* known = &recorder.m_router.contestedFlows();
            std::vector<std::unique_ptr<Vm>> successors;
            for (int restart = 0; restart < 5; ++restart) {
                const Instant now = recorder.m_now + std::chrono::seconds { 2 * (restart + 1) };
                Vm& vm = *successors.emplace_back(std::make_unique<Vm>(3, now));
                vm.m_router.contestedFlows().restore(known->reports(now), now - known->knownFor(now), now);
                const PacketAction action = vm.data(1, loser.m_token, 110);
                EXPECT_EQ(action.m_identity, winner.m_identity) << restart;
                EXPECT_EQ(action.m_token, settledToken(winner));
                known = &vm.m_router.contestedFlows();
            }
        }
    }

    // All VMs were restarted at once, so that none knows where the flow is open. A packet that does not prove it is
    // dropped: the backend server that lost would reset the flow.
    TEST(TokenRouterTest, contestedFlowGoesToNoOtherBackendAfterAllVmsWereRestarted)
    {
        for (const bool opensAtFirst : { true, false }) {
            Vm recorder;
            const auto [first, second] = openTwice(recorder, 1);
            const PacketAction& winner = opensAtFirst ? first : second;
            const PacketAction& loser = opensAtFirst ? second : first;
            recorder.data(1, winner.m_token, 10);
            Vm vm { 3, recorder.m_now + milliseconds { 600 } };
            for (int copy = 0; copy < 20; ++copy) {
                vm.wait(milliseconds { 500 });
                const PacketAction action = vm.data(1, loser.m_token, 110);
                EXPECT_EQ(action.m_kind, PacketActionKind::Drop) << copy;
                EXPECT_EQ(action.m_reason, Reason::OpeningUnproven);
            }
            // The backend server where it is open has got packets after the opening, and answers with their token.
            const PacketAction proven = vm.data(1, settledToken(winner), 110);
            EXPECT_EQ(proven.m_identity, winner.m_identity);
            EXPECT_EQ(vm.data(1, loser.m_token, 210).m_identity, winner.m_identity);
        }
    }

    TEST(TokenRouterTest, flowOpenedAfterAllVmsWereRestartedContinuesThroughAnyVm)
    {
        Vm opener { 3, c_start };
        Vm other { 3, c_start };
        opener.wait(milliseconds { 20 });
        other.wait(milliseconds { 25 });
        const PacketAction opened = opener.open(1);
        EXPECT_EQ(other.data(1, opened.m_token, 10).m_identity, opened.m_identity);
    }

    /// Sends one VM's questions to another, and applies the answers.
    void askAbout(Vm& asking, Vm& other)
    {
        for (const ContestedFlowReport& answer :
            other.m_router.answerQuestions(asking.m_router.takeQuestions(), other.m_now))
            asking.m_router.applyContestedFlow(answer, asking.m_now);
    }

    // A backend server repeats its answer for seconds, also to the caller's next flow on the same port.
    TEST(TokenRouterTest, theTokenOfAnOldOpeningProvesNothingToAVmWithoutARecord)
    {
        Vm opener;
        const PacketAction opened = opener.open(1);
        Vm vm { 3, opener.m_now + std::chrono::seconds { 2 } };
        EXPECT_EQ(vm.data(1, opened.m_token, 10).m_reason, Reason::OpeningUnproven);
        vm.m_router.contestedFlows().restore({}, opener.m_now, vm.m_now);
        EXPECT_EQ(vm.data(1, opened.m_token, 10).m_reason, Reason::OpeningUnproven);
        Vm old { 3, c_start };
        old.wait(c_departedRetention);
        EXPECT_EQ(old.data(1, opened.m_token, 10).m_reason, Reason::OpeningUnproven);
    }

    TEST(TokenRouterTest, flowWithoutARecordContinuesOnceAnotherVmHasAnswered)
    {
        for (const bool isOpen : { true, false }) {
            Vm opener;
            const PacketAction opened = opener.open(1);
            if (isOpen)
                opener.data(1, opened.m_token, 10);
            Vm vm { 3, opener.m_now + std::chrono::seconds { 2 } };
            EXPECT_EQ(vm.data(1, opened.m_token, 10).m_reason, Reason::OpeningUnproven);
            askAbout(vm, opener);
            EXPECT_EQ(vm.data(1, opened.m_token, 10).m_identity, opened.m_identity);
        }
    }

    // The VM that has seen the flow has forgotten its load, and remembers where it is open.
    TEST(TokenRouterTest, aVmRemembersWhereAnIdleFlowIsOpen)
    {
        Vm opener;
        const PacketAction opened = opener.open(1);
        opener.data(1, opened.m_token, 10);
        for (int i = 0; i < 50; ++i)
            opener.wait(std::chrono::seconds { 1 });
        ASSERT_EQ(opener.m_router.trackedFlows(), 0u);
        const std::uint32_t other = CarriedToken::encodeOpening(
            tokenOf({ opened.m_identity % 3 + 1 }), true, opener.m_now.time_since_epoch());
        Vm vm { 3, opener.m_now };
        EXPECT_EQ(vm.data(1, other, 110).m_reason, Reason::OpeningUnproven);
        askAbout(vm, opener);
        EXPECT_EQ(vm.data(1, other, 110).m_identity, opened.m_identity);
        EXPECT_EQ(opener.data(1, other, 110).m_identity, opened.m_identity);
    }

    TEST(TokenRouterTest, aFlowIsAskedAboutAtIntervals)
    {
        Vm vm;
        const std::uint32_t copy = CarriedToken::encodeOpening(tokenOf({ 1 }), true, vm.m_now.time_since_epoch());
        vm.data(1, copy, 110);
        vm.data(1, copy, 110);
        EXPECT_EQ(vm.m_router.takeQuestions().size(), 1u);
        vm.wait(milliseconds { 200 });
        vm.data(1, copy, 110);
        EXPECT_EQ(vm.m_router.takeQuestions().size(), 1u);
        EXPECT_TRUE(vm.m_router.takeQuestions().empty());
    }

    // Messages of other VMs are lost while a VM stands still.
    TEST(TokenRouterTest, afterAPauseContestedFlowsOfBeforeAreUnknown)
    {
        Vm opener;
        Vm vm;
        opener.wait(std::chrono::seconds { 3 });
        vm.wait(std::chrono::seconds { 3 });
        const PacketAction opened = opener.open(1);
        EXPECT_EQ(vm.data(1, opened.m_token, 10).m_identity, opened.m_identity);
        vm.m_router.applyPause(vm.m_now);
        EXPECT_EQ(vm.data(2, opened.m_token, 10).m_reason, Reason::OpeningUnproven);
        vm.m_router.contestedFlows().restore({}, c_start, vm.m_now);
        EXPECT_EQ(vm.data(2, opened.m_token, 10).m_identity, opened.m_identity);
    }

    // The VM that chose a backend server for a copy died before it could tell the others.
    TEST(TokenRouterTest, tokenOfACopyProvesNothingToAVmThatDoesNotKnowTheFlow)
    {
        Vm dead;
        const PacketAction copy = dead.open(1, c_forms, 1);
        Vm vm;
        EXPECT_EQ(vm.data(1, copy.m_token, 10).m_reason, Reason::OpeningUnproven);
        exchangeContestedFlows(dead, vm);
        EXPECT_EQ(vm.data(1, copy.m_token, 10).m_identity, copy.m_identity);
    }

    // A packet after the opening that this VM has seen proves more than a later answer to the opening.
    TEST(TokenRouterTest, flowWithARecordIgnoresTheTokenOfALaterAnswerToTheOpening)
    {
        Vm vm;
        vm.data(1, tokenOf({ 1 }).m_value, 10);
        const std::uint32_t later = CarriedToken::encodeOpening(tokenOf({ 2 }), false, vm.m_now.time_since_epoch());
        EXPECT_EQ(vm.data(1, later, 110).m_identity, 1u);
    }

    // Two VMs each placed a copy, and the flow opened at the backend server that the other one chose.
    TEST(TokenRouterTest, flowThatOpensElsewhereThanPlacedHereIsContested)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        const BackendToken other = tokenOf({ opened.m_identity % 3 + 1 });
        const std::uint32_t copy = CarriedToken::encodeOpening(other, true, vm.m_now.time_since_epoch());
        EXPECT_EQ(settledToken(vm.data(1, copy, 10)), other.m_value);
        EXPECT_EQ(settledToken(vm.data(1, opened.m_token, 110)), other.m_value);
        Vm next;
        exchangeContestedFlows(vm, next);
        EXPECT_EQ(settledToken(next.data(1, opened.m_token, 110)), other.m_value);
    }

    // The record of a contested flow does not apply to a later flow of the same addresses and ports.
    TEST(TokenRouterTest, aReusedPortIsNotContestedByAnOlderRecord)
    {
        Vm vm;
        const auto [first, second] = openTwice(vm, 1);
        vm.data(1, second.m_token, 10);
        Vm next;
        PacketSummary again = makePacket(PacketKind::Opening, 1);
        again.m_sequence = 70'000;
        const PacketAction reopened = next.send(again);
        exchangeContestedFlows(vm, next);
        EXPECT_EQ(next.data(1, reopened.m_token, 70'001).m_identity, reopened.m_identity);
    }

    /// Makes a backend server suspected: sends an opening packet twice without an answer.
    PacketAction makeSuspected(Vm& vm, std::uint16_t port)
    {
        const PacketAction opened = vm.open(port);
        vm.wait(milliseconds { 200 });
        vm.open(port, c_forms, 1);
        return opened;
    }

    TEST(TokenRouterTest, suspectedBackendHasOneProbeAtATime)
    {
        Vm vm;
        const PacketAction opened = makeSuspected(vm, 1);
        const std::vector<LivenessProbe> probes = vm.m_router.takeProbes(vm.m_now);
        ASSERT_EQ(probes.size(), 1u);
        EXPECT_EQ(probes[0].m_backend.m_value, settledToken(opened));
        EXPECT_EQ(probes[0].m_healthPath, "/health");
        EXPECT_TRUE(vm.m_router.takeProbes(vm.m_now).empty());
    }

    TEST(TokenRouterTest, onlyFlowsOfADeadBackendAreReset)
    {
        Vm vm;
        const PacketAction lost = vm.open(1);
        vm.data(1, lost.m_token, 10);
        vm.wait(milliseconds { 200 });
        makeSuspected(vm, 2);
        std::vector<LivenessProbe> probes = vm.m_router.takeProbes(vm.m_now);
        vm.backendOf(lost).m_liveness.recordUnansweredOpening(vm.m_now);
        probes = vm.m_router.takeProbes(vm.m_now);
        const std::vector<FlowReset> resets
            = vm.m_router.recordProbe(tokenOf({ lost.m_identity }), ProbeOutcome::Unanswered, vm.m_now);
        ASSERT_EQ(resets.size(), 1u);
        EXPECT_EQ(resets[0].m_flow.m_caller.m_port, 1);
        EXPECT_EQ(vm.data(1, lost.m_token, 110).m_kind, PacketActionKind::ResetCaller);

        vm.m_router.recordProbe(tokenOf({ lost.m_identity }), ProbeOutcome::Answered, vm.m_now); // it was partitioned
        EXPECT_EQ(vm.data(1, lost.m_token, 210).m_kind, PacketActionKind::ToBackend);
    }

    TEST(TokenRouterTest, unclearProbeResetsNoFlow)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        vm.data(1, opened.m_token, 10);
        vm.backendOf(opened).m_liveness.recordUnansweredOpening(vm.m_now);
        vm.m_router.takeProbes(vm.m_now);
        EXPECT_TRUE(vm.m_router.recordProbe(tokenOf({ opened.m_identity }), ProbeOutcome::Unclear, vm.m_now).empty());
        EXPECT_EQ(vm.data(1, opened.m_token, 110).m_kind, PacketActionKind::ToBackend);
    }

    // An address may get a new backend server 2 s after its owner ended, so that a probe then has to identify the
    // server that answers.
    TEST(TokenRouterTest, probeAfterTheAddressReuseDelayRequiresIdentification)
    {
        Vm vm;
        const PacketAction opened = vm.open(1);
        vm.data(1, opened.m_token, 10, 5);
        vm.wait(milliseconds { 1'500 });
        vm.backendOf(opened).m_liveness.recordUnansweredOpening(vm.m_now);
        const std::vector<LivenessProbe> early = vm.m_router.takeProbes(vm.m_now);
        ASSERT_EQ(early.size(), 1u);
        EXPECT_FALSE(early[0].m_mustIdentify);
        vm.m_router.recordProbe(tokenOf({ opened.m_identity }), ProbeOutcome::Unclear, vm.m_now);
        vm.wait(milliseconds { 1'000 });
        const std::vector<LivenessProbe> late = vm.m_router.takeProbes(vm.m_now);
        ASSERT_EQ(late.size(), 1u);
        EXPECT_TRUE(late[0].m_mustIdentify);
    }

    TEST(TokenRouterTest, pauseDropsQueuedOpeningsAndClearsSuspicion)
    {
        Vm vm;
        const PacketAction opened = makeSuspected(vm, 1);
        ASSERT_TRUE(vm.backendOf(opened).m_liveness.isUnresponsive());
        vm.m_router.applyPause(vm.m_now + milliseconds { 50 });
        EXPECT_FALSE(vm.backendOf(opened).m_liveness.isUnresponsive());
        EXPECT_EQ(vm.open(2).m_kind, PacketActionKind::Drop);
        EXPECT_EQ(vm.data(3, settledToken(opened), 10).m_kind, PacketActionKind::ToBackend);
        vm.wait(milliseconds { 60 });
        EXPECT_EQ(vm.open(2).m_kind, PacketActionKind::ToBackend);
    }

    TEST(TokenRouterTest, unresponsiveZoneIsAvoidedCompletely)
    {
        Vm vm { 0 };
        std::vector<AnnouncedBackend> announced { makeBackend(1, "a"), makeBackend(2, "b"), makeBackend(3, "b"),
            makeBackend(4, "b") };
        vm.m_router.backends().replaceAll(announced, vm.m_now);
        const BackendToken remoteBackend = tokenOf({ 2 });
        // Fills the backend server in zone a until one in zone b is chosen.
        std::uint16_t port = 1;
        PacketAction opened = vm.open(port);
        while (vm.backendOf(opened).m_announced.m_server.m_zone == "a" && port < 50)
            opened = vm.open(++port);
        ASSERT_EQ(vm.backendOf(opened).m_announced.m_server.m_zone, "b");
        vm.wait(milliseconds { 200 });
        vm.open(port, c_forms, 1);
        for (std::uint16_t next = 100; next < 120; ++next)
            EXPECT_EQ(vm.backendOf(vm.open(next)).m_announced.m_server.m_zone, "a");
        vm.m_router.recordProbe(remoteBackend, ProbeOutcome::Answered, vm.m_now);
        bool usesRemoteZone = false;
        for (std::uint16_t next = 200; next < 240; ++next)
            usesRemoteZone = usesRemoteZone || vm.backendOf(vm.open(next)).m_announced.m_server.m_zone == "b";
        EXPECT_TRUE(usesRemoteZone);
    }

    // A dead backend server has no load and is the best choice of other zones until a VM of its zone reports it dead.
    TEST(TokenRouterTest, deadHintsFromAnotherZoneCountOnlyForItsBackends)
    {
        Vm vm { 0 };
        vm.m_router.backends().replaceAll(
            std::vector<AnnouncedBackend> { makeBackend(1, "a"), makeBackend(2, "b"), makeBackend(3, "c") }, vm.m_now);
        const std::vector<BackendToken> dead { tokenOf({ 1 }), tokenOf({ 2 }), tokenOf({ 3 }) };
        vm.m_router.applyDeadHints(dead, hashZone("b"), vm.m_now);
        const std::vector<LivenessProbe> probes = vm.m_router.takeProbes(vm.m_now);
        ASSERT_EQ(probes.size(), 1u);
        EXPECT_EQ(probes[0].m_identity.m_value, 2u);
        vm.m_router.applyDeadHints(dead, hashZone("a"), vm.m_now);
        EXPECT_EQ(vm.m_router.takeProbes(vm.m_now).size(), 2u);
    }

    TEST(TokenRouterTest, placementUsesPeerLoad)
    {
        Vm vm;
        const std::vector<BackendLoadReport> reports { { tokenOf({ 1 }), { 9, 0 } }, { tokenOf({ 2 }), { 9, 0 } } };
        vm.m_router.applyPeerLoad({ 1, 7720 }, reports, vm.m_now);
        EXPECT_EQ(vm.open(1).m_identity, 3u);
        vm.m_router.applyPeerLoad({ 1, 7720 }, {}, vm.m_now);
        EXPECT_EQ(vm.backend(tokenOf({ 1 }).m_value).m_peerLoad, BackendLoad {});
    }

    TEST(TokenRouterTest, peerLoadExpires)
    {
        Vm vm;
        const std::vector<BackendLoadReport> reports { { tokenOf({ 1 }), { 9, 4 } } };
        vm.m_router.applyPeerLoad({ 1, 7720 }, reports, vm.m_now);
        vm.wait(milliseconds { 700 });
        EXPECT_EQ(vm.backend(tokenOf({ 1 }).m_value).m_peerLoad, BackendLoad {});
    }

    // Or, with a token that proves nothing, to the backend server that the flow's packets went to before.
    RC_GTEST_PROP(TokenRouterTest, packetsGoOnlyToTheBackendOfTheirToken, ())
    {
        Vm vm { 5 };
        std::array<std::uint32_t, 5> settled {}; // last token of each port that named a backend server
        std::array<std::uint32_t, 5> sequences {}; // of each port, from a random start
        for (std::uint32_t& sequence : sequences)
            sequence = *rc::gen::arbitrary<std::uint32_t>();
        const std::vector<std::uint32_t> tokens = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::oneOf(rc::gen::arbitrary<std::uint32_t>(), rc::gen::map(rc::gen::inRange(1, 6), [](int identity) {
                return tokenOf({ static_cast<std::uint64_t>(identity) }).m_value;
            })));
        for (const std::uint32_t token : tokens) {
            const std::uint16_t port = static_cast<std::uint16_t>(*rc::gen::inRange(1, 5));
            sequences[port] += *rc::gen::inRange<std::uint32_t>(0, 10'000);
            const PacketAction action = vm.data(port, token, sequences[port]);
            if (action.m_kind == PacketActionKind::ToBackend && token != 0) {
                const bool isSettled = CarriedToken::decode(token).m_kind == CarriedToken::Kind::Settled;
                settled[port] = isSettled ? token : settled[port];
                RC_ASSERT(settledToken(action) == settled[port]);
            }
            vm.wait(milliseconds { *rc::gen::inRange(0, 500) });
        }
    }

    /// Entry VM in zone a, with one other there, that keeps a budget. Both open flows at each cold backend server, at
    /// intervals of 200 ms.
    struct BudgetVm {
        static constexpr double s_rate = 10;

        explicit BudgetVm(std::optional<WarmupBounds> bounds = WarmupBounds { 1.5, 5 }, double rate = s_rate)
            : m_router({ "a", 1'000, std::chrono::seconds { 2 }, false, bounds, { 0x0a010001, 7720 }, c_start },
                m_placement, m_observer)
        {
            ServiceDeclarations declarations = makeDeclarations(1);
            declarations.m_warmups
                = { { declarations.m_services[0].m_selectors[0].m_selector, std::chrono::seconds { 2 }, rate } };
            m_router.applyDeclarations(declarations, m_now);
            wait(std::chrono::seconds { 10 });
        }

        /// Passes time in which the other VM is heard of once a second.
        void wait(Duration duration)
        {
            for (const Instant end = m_now + duration; m_now < end;) {
                m_now = std::min<Instant>(m_now + std::chrono::seconds { 1 }, end);
                const ZoneMember other { { 0x0a010002, 7720 }, m_now };
                m_router.updateZoneMembers({ &other, 1 }, m_now);
                m_router.tick(m_now);
            }
            m_router.setStateConfirmed(m_now, false);
        }

        void announce(std::uint64_t identity, bool isCold, std::string_view zone = "a")
        {
            AnnouncedBackend backend = makeBackend(identity, zone);
            backend.m_warmAt = isCold ? m_now + std::chrono::seconds { 60 } : m_now;
            m_router.announceBackend(backend, m_now);
        }

        PacketAction open(std::uint16_t port, std::uint8_t retransmissions = 0)
        {
            PacketSummary packet = makePacket(PacketKind::Opening, port);
            packet.m_retransmissions = retransmissions;
            std::array<PacketAction, 1> actions;
            m_router.decide({ &packet, 1 }, actions, m_now);
            return actions[0];
        }

        /// Whether this VM can open a flow. Each call uses a port of its own.
        bool canOpen() { return open(++m_port).m_kind == PacketActionKind::ToBackend; }

        LeastWorkPlacement m_placement;
        NullRouterObserver m_observer;
        Instant m_now = c_start;
        TokenRouter m_router;
        std::uint16_t m_port = 1'000;
    };

    // All VMs together overloaded a backend server that had just started.
    TEST(TokenRouterTest, openingsBeyondTheWarmupBudgetAreRefusedAtOnce)
    {
        BudgetVm vm;
        vm.announce(1, true);
        EXPECT_EQ(vm.open(1).m_kind, PacketActionKind::ToBackend);
        const PacketAction refused = vm.open(2);
        EXPECT_EQ(refused.m_kind, PacketActionKind::Refuse);
        EXPECT_EQ(refused.m_reason, Reason::WarmupBudget);
        vm.wait(milliseconds { 199 });
        EXPECT_FALSE(vm.canOpen());
        vm.wait(milliseconds { 1 });
        EXPECT_TRUE(vm.canOpen());
        EXPECT_FALSE(vm.canOpen());
        EXPECT_EQ(vm.m_router.warmupCounts().m_permitsUsed, 2u);
        EXPECT_EQ(vm.m_router.warmupCounts().m_leftOut, 3u);
        EXPECT_EQ(vm.m_router.budgetedBackends(vm.m_now), 1u);
        vm.wait(std::chrono::seconds { 60 });
        EXPECT_EQ(vm.m_router.budgetedBackends(vm.m_now), 0u);
        for (int i = 0; i < 10; ++i)
            EXPECT_TRUE(vm.canOpen());
    }

    TEST(TokenRouterTest, coldBackendServersWithoutAPermitAreLeftOut)
    {
        BudgetVm vm;
        vm.announce(1, true);
        vm.announce(2, false);
        vm.announce(3, true, "b"); // only VMs of its zone have permits for it
        int atCold = 0;
        for (int i = 0; i < 20; ++i) {
            const PacketAction action = vm.open(static_cast<std::uint16_t>(i + 1));
            ASSERT_EQ(action.m_kind, PacketActionKind::ToBackend);
            EXPECT_NE(action.m_identity, 3u);
            atCold += action.m_identity == 1 ? 1 : 0;
        }
        EXPECT_EQ(atCold, 1);
    }

    TEST(TokenRouterTest, aRetransmittedOpeningNeedsNoSecondPermitUnlessItGoesElsewhere)
    {
        BudgetVm vm;
        vm.announce(1, true);
        vm.announce(2, true);
        const PacketAction first = vm.open(1);
        ASSERT_EQ(first.m_kind, PacketActionKind::ToBackend);
        EXPECT_EQ(vm.open(1, 1).m_identity, first.m_identity);
        EXPECT_EQ(vm.m_router.warmupCounts().m_permitsUsed, 1u);
        // The first one is about to leave, and the permit for the second one is used up.
        ASSERT_TRUE(vm.canOpen());
        AnnouncedBackend draining = makeBackend(first.m_identity);
        draining.m_server.m_draining = true;
        draining.m_warmAt = vm.m_now + std::chrono::seconds { 60 };
        vm.m_router.announceBackend(draining, vm.m_now);
        vm.m_now += milliseconds { 160 };
        const PacketAction second = vm.open(1, 2);
        EXPECT_EQ(second.m_kind, PacketActionKind::Refuse);
        EXPECT_EQ(second.m_reason, Reason::WarmupBudget);
        vm.wait(milliseconds { 40 });
        EXPECT_EQ(vm.open(1, 3).m_kind, PacketActionKind::ToBackend);
        EXPECT_EQ(vm.m_router.warmupCounts().m_permitsUsed, 3u);
    }

    // The settings and the declarations of most deployments request no budget.
    TEST(TokenRouterTest, withoutBoundsOrADeclaredRateColdBackendServersAreNotLimited)
    {
        BudgetVm withoutBounds { std::nullopt };
        BudgetVm withoutRate { WarmupBounds { 1.5, 5 }, 0 };
        for (BudgetVm* const vm : { &withoutBounds, &withoutRate }) {
            vm->announce(1, true);
            vm->announce(2, true, "b");
            vm->m_router.setEvacuatedZones(std::array { hashZone("b") }, vm->m_now);
            vm->m_router.setEvacuatedZones({}, vm->m_now);
            for (int i = 0; i < 20; ++i)
                EXPECT_TRUE(vm->canOpen());
            EXPECT_EQ(vm->m_router.warmupCounts().m_leftOut, 0u);
        }
    }

    // The backend servers of a zone that returns become cold. This VM may learn of the return before it learns of that.
    TEST(TokenRouterTest, aZoneThatReturnsCountsAsColdUntilTheStateIsConfirmed)
    {
        BudgetVm vm;
        vm.announce(1, false);
        vm.m_router.setEvacuatedZones(std::array { hashZone("a") }, vm.m_now);
        EXPECT_EQ(vm.open(1).m_reason, Reason::ZoneEvacuated);
        const Instant endedAt = vm.m_now + std::chrono::seconds { 1 };
        vm.m_now = endedAt;
        vm.m_router.setEvacuatedZones({}, vm.m_now);
        EXPECT_TRUE(vm.canOpen());
        EXPECT_EQ(vm.open(2).m_reason, Reason::WarmupBudget);
        vm.m_router.setStateConfirmed(endedAt, false); // of the same time, so possibly before the warm-up was written
        EXPECT_EQ(vm.open(3).m_reason, Reason::WarmupBudget);
        vm.m_router.setStateConfirmed(endedAt + milliseconds { 1 }, false);
        for (int i = 0; i < 10; ++i)
            EXPECT_TRUE(vm.canOpen());
    }

    // Labels decide which declaration applies; a later version may change the rate.
    TEST(TokenRouterTest, aChangedRateAppliesAtOnce)
    {
        BudgetVm vm;
        vm.announce(1, true);
        EXPECT_TRUE(vm.canOpen());
        EXPECT_FALSE(vm.canOpen());
        ASSERT_TRUE(vm.m_router.applyDeclarations(makeDeclarations(2), vm.m_now));
        EXPECT_TRUE(vm.canOpen());
        EXPECT_TRUE(vm.canOpen());
    }

} // namespace
} // namespace cuminrelay
