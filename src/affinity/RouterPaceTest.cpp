#include "affinity/TokenRouter.h"

#include "affinity/NullRouterObserver.h"
#include "placement/LeastWorkPlacement.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Endpoint c_service { 0xc6120001, 8080 };
    constexpr Instant c_start { seconds { 100 } };

    /// Keeps the candidates of the last choice.
    class RecordingPlacement final : public FlowPlacement {
    public:
        std::size_t choose(std::span<const FlowCandidate> candidates, const FlowDemand& demand) const override
        {
            m_candidates.assign(candidates.begin(), candidates.end());
            return m_placement.choose(candidates, demand);
        }

        mutable std::vector<FlowCandidate> m_candidates;

    private:
        LeastWorkPlacement m_placement;
    };

    class RecordingObserver final : public RouterObserver {
    public:
        void placed(const PacketSummary&, const TrackedBackend&, PlacementCause, std::size_t, Instant) override { }
        void rejected(const PacketSummary&, const PacketAction&, const TrackedBackend*, Instant) override { }
        void livenessChanged(const TrackedBackend&, bool, Instant) override { }
        void paceChanged(const TrackedBackend&, const Pace& pace) override { m_reasons.push_back(pace.m_reason); }

        std::vector<PaceReason> m_reasons;
    };

    AnnouncedBackend makeBackend(std::uint64_t identity, std::uint64_t startedAt = 1, std::string_view zone = "a")
    {
        AnnouncedBackend backend;
        backend.m_identity = { identity };
        backend.m_startedAtUnixMs = startedAt;
        backend.m_server.m_zone = zone;
        backend.m_server.m_tunnel = { 0x0a800000 + static_cast<std::uint32_t>(identity), 8080 };
        backend.m_server.m_slots = 2;
        backend.m_server.m_labels.emplace("app", "kanteisha");
        return backend;
    }

    /// Entry VM in zone a, with backend servers 1 to 3 in zone a and 4 in zone b.
    struct Vm {
        explicit Vm(bool learnsPace)
            : m_router({ .m_zone = "a", .m_learnsPace = learnsPace }, m_placement, m_observer)
        {
            const Selector selector { { { "app", SelectorOperator::Equals, { "kanteisha" } } } };
            ServiceDeclarations declarations;
            declarations.m_version = { 1 };
            declarations.m_services = { { "forms", c_service, RequestKind::NonIdempotent, { { selector, 1 } } } };
            m_router.applyDeclarations(declarations, m_now);
            for (std::uint64_t identity = 1; identity <= 3; ++identity)
                m_router.announceBackend(makeBackend(identity), m_now);
            m_router.announceBackend(makeBackend(4, 1, "b"), m_now);
            m_router.setStateConfirmed(m_now, false);
        }

        PacketAction send(PacketKind kind, std::uint16_t port, std::uint32_t token, std::uint32_t sequence,
            std::uint32_t acknowledgment, std::uint16_t bytes)
        {
            PacketSummary packet;
            packet.m_flow = { { 0x64400007, port }, c_service };
            packet.m_kind = kind;
            packet.m_carriedToken = token;
            packet.m_sequence = sequence;
            packet.m_acknowledgment = acknowledgment;
            packet.m_payloadBytes = bytes;
            std::array<PacketAction, 1> actions;
            m_router.decide({ &packet, 1 }, actions, m_now);
            return actions[0];
        }

        /// Sends a request to a backend server, whose answer takes the given time.
        void request(std::uint64_t identity, Duration time)
        {
            const std::uint32_t token = tokenOf({ identity }).m_value;
            ++m_port;
            send(PacketKind::Midstream, m_port, token, 10, 50, 100);
            wait(time);
            send(PacketKind::HalfClose, m_port, token, 110, 950, 0);
        }

        void wait(Duration duration)
        {
            m_now += duration;
            m_router.tick(m_now);
        }

        PaceReason reason(std::uint64_t identity)
        {
            return m_router.backends().find(tokenOf({ identity }))->m_pace.pace(m_now).m_reason;
        }

        RecordingPlacement m_placement;
        RecordingObserver m_observer;
        TokenRouter m_router;
        Instant m_now = c_start;
        std::uint16_t m_port = 100;
    };

    // An entry VM that starts does not know when the backend servers started.
    TEST(RouterPaceTest, theFirstBackendServersOfAVmAreSteady)
    {
        Vm vm { true };
        for (std::uint64_t identity = 1; identity <= 4; ++identity)
            EXPECT_EQ(vm.reason(identity), PaceReason::Steady);
    }

    TEST(RouterPaceTest, aStartAndARestartAreRecognized)
    {
        Vm vm { true };
        vm.wait(seconds { 10 });
        vm.m_router.announceBackend(makeBackend(5), vm.m_now);
        vm.m_router.announceBackend(makeBackend(1, 2), vm.m_now);
        vm.m_router.announceBackend(makeBackend(2, 1), vm.m_now); // only renewed
        EXPECT_EQ(vm.reason(5), PaceReason::Starting);
        EXPECT_EQ(vm.reason(1), PaceReason::Starting);
        EXPECT_EQ(vm.reason(2), PaceReason::Steady);
        vm.wait(seconds { 1 });
        vm.wait(seconds { 5 });
        EXPECT_EQ(vm.reason(5), PaceReason::Steady);
        const std::vector<PaceReason> reported { PaceReason::Starting, PaceReason::Starting, PaceReason::Steady,
            PaceReason::Steady };
        EXPECT_EQ(vm.m_observer.m_reasons, reported);
    }

    // Evacuated backend servers are idle, and all entry VMs return to them at once.
    TEST(RouterPaceTest, aZoneThatReturnsFromAnEvacuationRecovers)
    {
        Vm vm { true };
        const std::array<ZoneHash, 1> zones { hashZone("b") };
        vm.m_router.setEvacuatedZones(zones, vm.m_now);
        vm.wait(seconds { 10 });
        vm.m_router.setEvacuatedZones({}, vm.m_now);
        EXPECT_EQ(vm.reason(4), PaceReason::Recovering);
        EXPECT_EQ(vm.reason(1), PaceReason::Steady);
    }

    TEST(RouterPaceTest, aBackendServerThatAnswersAfterSecondsRecovers)
    {
        Vm vm { true };
        vm.request(1, milliseconds { 10 });
        vm.m_router.applyDeadHints(
            std::vector<BackendToken> { tokenOf({ 1 }) }, hashZone("a"), vm.m_now + seconds { 1 });
        vm.wait(seconds { 3 });
        vm.m_router.recordProbe(tokenOf({ 1 }), ProbeOutcome::Answered, vm.m_now);
        EXPECT_EQ(vm.reason(1), PaceReason::Recovering);
    }

    // A lost packet must not count as an outage.
    TEST(RouterPaceTest, aBackendServerThatAnsweredJustBeforeDoesNotRecover)
    {
        Vm vm { true };
        vm.request(1, milliseconds { 10 });
        vm.wait(milliseconds { 300 });
        vm.m_router.applyDeadHints(std::vector<BackendToken> { tokenOf({ 1 }) }, hashZone("a"), vm.m_now);
        vm.wait(milliseconds { 100 });
        vm.m_router.recordProbe(tokenOf({ 1 }), ProbeOutcome::Answered, vm.m_now);
        EXPECT_EQ(vm.reason(1), PaceReason::Steady);
    }

    TEST(RouterPaceTest, aBackendServerWithLongAnswersIsSlow)
    {
        Vm vm { true };
        for (int i = 0; i < 12; ++i) {
            vm.request(1, milliseconds { 20 });
            vm.request(2, milliseconds { 20 });
            vm.request(3, milliseconds { 120 });
        }
        EXPECT_EQ(vm.reason(1), PaceReason::Steady);
        EXPECT_EQ(vm.reason(3), PaceReason::Slow);
        vm.send(PacketKind::Opening, 1, 0, 1, 0, 0);
        double highest = 0;
        for (const FlowCandidate& candidate : vm.m_placement.m_candidates)
            highest = std::max(highest, candidate.m_workFactor);
        EXPECT_GT(highest, 2);
    }

    // Guards the placement of deployments that do not request the pace.
    RC_GTEST_PROP(
        RouterPaceTest, withoutTheSwitchOnlyAnAnnouncedWarmupCounts, (const std::vector<std::uint8_t>& events))
    {
        Vm vm { false };
        Deadline warmAt {};
        for (const std::uint8_t event : events) {
            const std::uint64_t identity = 1 + event % 3;
            if (event % 5 == 0) {
                AnnouncedBackend restarted = makeBackend(1, 2 + event);
                restarted.m_warmAt = warmAt = vm.m_now + milliseconds { 10 * event };
                vm.m_router.announceBackend(restarted, vm.m_now);
            } else if (event % 5 == 1) {
                vm.m_router.recordProbe(tokenOf({ identity }), ProbeOutcome::Answered, vm.m_now);
            } else {
                vm.request(identity, milliseconds { event });
            }
            vm.wait(milliseconds { event });
            vm.send(PacketKind::Opening, ++vm.m_port, 0, 1, 0, 0);
            std::size_t cold = 0;
            for (const FlowCandidate& candidate : vm.m_placement.m_candidates) {
                RC_ASSERT(candidate.m_workFactor == 1 || candidate.m_workFactor == c_warmupFactor);
                RC_ASSERT(candidate.m_addedRequests == 0);
                RC_ASSERT(candidate.m_share == 0);
                cold += candidate.m_workFactor == c_warmupFactor ? 1 : 0;
            }
            RC_ASSERT(cold == (vm.m_now < warmAt ? 1U : 0U));
        }
        RC_ASSERT(vm.m_observer.m_reasons.empty());
    }

} // namespace
} // namespace cuminrelay
