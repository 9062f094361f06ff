#include "exchange/ExchangePeers.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <set>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr std::uint16_t c_port = 7720;

    /// VMs in several zones that exchange messages on a virtual clock. A VM can lose contact with the store or fail.
    class Fleet {
    public:
        Fleet(std::size_t perZone, std::size_t zones)
        {
            const std::vector<Endpoint> seeds { { 1, c_port }, { 2, c_port } };
            for (std::uint32_t i = 0; i < perZone * zones; ++i) {
                const Endpoint self { i + 1, c_port };
                const ZoneHash zone { static_cast<std::uint32_t>(i % zones) };
                m_vms.push_back(std::make_unique<Vm>(Vm { self, zone, ExchangePeers { self, zone, seeds } }));
            }
        }

        void run(Duration duration, Duration sendInterval = milliseconds { 25 })
        {
            for (const Instant end = m_now + duration; m_now < end; m_now += sendInterval) {
                for (const std::unique_ptr<Vm>& vm : m_vms)
                    step(*vm);
            }
        }

        /// Indexes of a zone's live VMs that are in contact with the store.
        std::vector<std::size_t> readers(std::uint32_t zone) const
        {
            std::vector<std::size_t> found;
            for (std::size_t i = 0; i < m_vms.size(); ++i) {
                if (m_vms[i]->m_zone.m_value == zone && m_vms[i]->m_isAlive && m_vms[i]->m_isReading)
                    found.push_back(i);
            }
            return found;
        }

        struct Vm {
            Endpoint m_self;
            ZoneHash m_zone;
            ExchangePeers m_peers;
            bool m_isAlive = true;
            bool m_reachesStore = true;
            bool m_triesToRead = false;
            bool m_isReading = false;
            StoreVersions m_storeVersions {};
            Instant m_confirmedAt {};
        };

        std::vector<std::unique_ptr<Vm>> m_vms;
        Instant m_now { std::chrono::seconds { 100 } };

    private:
        void step(Vm& vm)
        {
            if (!vm.m_isAlive)
                return;
            const Instant heardAt = vm.m_peers.stateConfirmedAt(vm.m_storeVersions);
            vm.m_triesToRead = vm.m_peers.shouldRead(vm.m_storeVersions, std::max(vm.m_confirmedAt, heardAt), m_now);
            vm.m_isReading = vm.m_triesToRead && vm.m_reachesStore;
            if (vm.m_isReading)
                vm.m_confirmedAt = m_now;
            LoadMessage message;
            message.m_zone = vm.m_zone;
            message.m_isReading = vm.m_isReading;
            message.m_storeVersions = vm.m_storeVersions;
            message.m_stateAge = stateAge(vm);
            message.m_peers = vm.m_peers.peersToGossip(m_now);
            for (const Endpoint target : vm.m_peers.nextTargets(m_now)) {
                Vm& other = *m_vms[target.m_address - 1];
                if (other.m_isAlive && target != vm.m_self)
                    deliver(other, vm, message);
            }
        }

        std::optional<Duration> stateAge(Vm& vm)
        {
            const Instant confirmedAt = std::max(vm.m_confirmedAt, vm.m_peers.stateConfirmedAt(vm.m_storeVersions));
            return confirmedAt != Instant {} ? std::optional { m_now - confirmedAt } : std::nullopt;
        }

        /// Delivers a message; the receiver replies to a new peer with the peers of its zone.
        void deliver(Vm& receiver, Vm& sender, const LoadMessage& message)
        {
            receiver.m_peers.recordMessage(sender.m_self, message, m_now);
            for (const ExchangePeer& newPeer : receiver.m_peers.takeNewPeers()) {
                LoadMessage reply;
                reply.m_zone = receiver.m_zone;
                reply.m_isReading = receiver.m_isReading;
                reply.m_storeVersions = receiver.m_storeVersions;
                reply.m_stateAge = stateAge(receiver);
                reply.m_peers = receiver.m_peers.peersOf(newPeer.m_zone);
                deliver(*m_vms[newPeer.m_exchange.m_address - 1], receiver, reply);
            }
        }
    };

    TEST(ExchangePeersTest, eachVmFindsAllOthersThroughTheSeeds)
    {
        Fleet fleet { 6, 3 };
        fleet.run(std::chrono::seconds { 5 });
        for (const std::unique_ptr<Fleet::Vm>& vm : fleet.m_vms)
            EXPECT_EQ(vm->m_peers.size(), 17u);
    }

    TEST(ExchangePeersTest, aZoneWithoutSeedsFindsItsPeersBeforeTooManyOfItsVmsRead)
    {
        Fleet fleet { 15, 5 }; // the seeds are in two of the zones
        fleet.run(milliseconds { 600 }, milliseconds { 100 });
        fleet.run(milliseconds { 500 }, milliseconds { 100 });
        for (std::uint32_t zone = 0; zone < 5; ++zone)
            EXPECT_LE(fleet.readers(zone).size(), 2u) << "zone " << zone;
    }

    TEST(ExchangePeersTest, oneVmOfEachZoneFollowsTheStore)
    {
        Fleet fleet { 20, 2 };
        fleet.run(std::chrono::seconds { 5 });
        EXPECT_EQ(fleet.readers(0).size(), 1u);
        EXPECT_EQ(fleet.readers(1).size(), 1u);
    }

    // The byte budget lets a busy VM send to three others about every 90 ms.
    TEST(ExchangePeersTest, aBusyReaderOfALargeZoneDoesNotTimeOut)
    {
        constexpr milliseconds interval { 90 };
        Fleet fleet { 24, 1 };
        fleet.run(std::chrono::seconds { 10 }, interval);
        for (int round = 0; round < 200; ++round) {
            fleet.run(interval, interval);
            const std::ptrdiff_t trying = std::count_if(
                fleet.m_vms.begin(), fleet.m_vms.end(), [](const auto& vm) { return vm->m_triesToRead; });
            ASSERT_EQ(trying, 1) << "round " << round;
        }
    }

    TEST(ExchangePeersTest, anIdleReaderOfALargeZoneDoesNotTimeOut)
    {
        Fleet fleet { 15, 1 };
        fleet.run(std::chrono::seconds { 5 });
        for (int round = 0; round < 200; ++round) {
            const Duration interval = fleet.m_vms[0]->m_peers.repeatAt(fleet.m_now) - fleet.m_now;
            fleet.run(interval, interval);
            const std::ptrdiff_t trying = std::count_if(
                fleet.m_vms.begin(), fleet.m_vms.end(), [](const auto& vm) { return vm->m_triesToRead; });
            ASSERT_EQ(trying, 1) << "round " << round;
        }
    }

    TEST(ExchangePeersTest, anIdleVmOfASmallZoneSendsAtTheMaximumInterval)
    {
        Fleet fleet { 3, 3 };
        fleet.run(std::chrono::seconds { 5 });
        EXPECT_EQ(fleet.m_vms[0]->m_peers.repeatAt(fleet.m_now), fleet.m_now + milliseconds { 200 });
    }

    TEST(ExchangePeersTest, aVmThatStartsLeavesTheStoreToTheReaderOfItsZone)
    {
        Fleet fleet { 15, 2 };
        fleet.run(std::chrono::seconds { 5 });
        Fleet::Vm& vm = *fleet.m_vms[fleet.readers(0).front() == 2 ? 4 : 2];
        vm.m_peers = ExchangePeers { vm.m_self, vm.m_zone, std::vector<Endpoint> { { 1, c_port }, { 2, c_port } } };
        for (int round = 0; round < 100; ++round) {
            fleet.run(milliseconds { 25 });
            ASSERT_FALSE(vm.m_triesToRead) << "round " << round;
        }
    }

    // A configuration must be in force within 3 s; half of that is for detecting a failed reader.
    TEST(ExchangePeersTest, theNextInRankTakesOverFromAFailedReader)
    {
        struct Zone {
            std::size_t m_vms;
            milliseconds m_takenOverWithin;
        };
        for (const Zone zone : { Zone { 3, milliseconds { 700 } }, Zone { 9, milliseconds { 700 } },
                 Zone { 20, milliseconds { 1'500 } } }) {
            Fleet fleet { zone.m_vms, 2 };
            fleet.run(std::chrono::seconds { 5 });
            const std::size_t reader = fleet.readers(0).front();
            fleet.m_vms[reader]->m_isAlive = false;
            fleet.run(zone.m_takenOverWithin);
            ASSERT_EQ(fleet.readers(0).size(), 1u) << zone.m_vms << " VMs";
            EXPECT_NE(fleet.readers(0).front(), reader);
        }
    }

    TEST(ExchangePeersTest, anotherVmReadsWithin1500MsWhenTheStoreRefusesTheReader)
    {
        Fleet fleet { 3, 3 };
        fleet.run(std::chrono::seconds { 5 });
        fleet.m_vms[fleet.readers(0).front()]->m_reachesStore = false;
        fleet.run(milliseconds { 1'500 });
        EXPECT_EQ(fleet.readers(0).size(), 1u);
    }

    TEST(ExchangePeersTest, notAllVmsCallTheStoreDuringAnOutage)
    {
        Fleet fleet { 20, 2 };
        fleet.run(std::chrono::seconds { 5 });
        for (const std::unique_ptr<Fleet::Vm>& vm : fleet.m_vms)
            vm->m_reachesStore = false;
        fleet.run(milliseconds { 2'000 });
        const auto tries = std::count_if(fleet.m_vms.begin(), fleet.m_vms.end(),
            [](const std::unique_ptr<Fleet::Vm>& vm) { return vm->m_triesToRead; });
        EXPECT_GE(tries, 2);
        EXPECT_LE(tries, 8);
    }

    TEST(ExchangePeersTest, aNewerStateIsRequestedFromTheLocalZoneAtOnceAndFromAnotherZoneAfterADelay)
    {
        Fleet fleet { 2, 2 };
        fleet.run(std::chrono::seconds { 3 });
        Fleet::Vm& vm = *fleet.m_vms[0];
        vm.m_storeVersions = { { 10 }, { 1 } };
        for (const std::unique_ptr<Fleet::Vm>& other : fleet.m_vms)
            other->m_storeVersions = vm.m_storeVersions;
        fleet.run(milliseconds { 500 });
        EXPECT_EQ(vm.m_peers.peerWithNewerState(vm.m_storeVersions, fleet.m_now), std::nullopt);
        fleet.m_vms[1]->m_storeVersions.m_backends = { 11 }; // another zone
        fleet.run(milliseconds { 300 });
        EXPECT_EQ(vm.m_peers.peerWithNewerState(vm.m_storeVersions, fleet.m_now), std::nullopt);
        fleet.run(milliseconds { 800 });
        EXPECT_EQ(vm.m_peers.peerWithNewerState(vm.m_storeVersions, fleet.m_now), fleet.m_vms[1]->m_self);
        fleet.m_vms[2]->m_storeVersions.m_backends = { 11 }; // the local zone
        fleet.run(milliseconds { 100 });
        EXPECT_EQ(vm.m_peers.peerWithNewerState(vm.m_storeVersions, fleet.m_now), fleet.m_vms[2]->m_self);
    }

    TEST(ExchangePeersTest, aLeavingPeerIsRemoved)
    {
        Fleet fleet { 3, 1 };
        fleet.run(std::chrono::seconds { 2 });
        LoadMessage leaveMessage;
        leaveMessage.m_leaving = true;
        fleet.m_vms[0]->m_peers.recordMessage(fleet.m_vms[1]->m_self, leaveMessage, fleet.m_now);
        EXPECT_EQ(fleet.m_vms[0]->m_peers.size(), 1u);
    }

    // A VM that got SIGTERM forwards packets until the fabric has noticed. It has to learn of contested flows, and of
    // the store's changes, like the others (review/12).
    TEST(ExchangePeersTest, aLeavingPeerGetsMessagesUntilItIsSilent)
    {
        Fleet fleet { 3, 1 };
        fleet.run(std::chrono::seconds { 2 });
        ExchangePeers& peers = fleet.m_vms[0]->m_peers;
        const Endpoint leaving = fleet.m_vms[1]->m_self;
        const auto isTarget = [&](Instant now) {
            const std::vector<Endpoint> targets = peers.nextTargets(now);
            return std::ranges::find(targets, leaving) != targets.end();
        };
        LoadMessage message;
        message.m_leaving = true;
        Instant now = fleet.m_now;
        peers.recordMessage(leaving, message, now);
        for (int request = 0; request < 10; ++request)
            EXPECT_EQ(peers.peerWithState({}, now), fleet.m_vms[2]->m_self);
        for (int i = 0; i < 30; ++i, now += milliseconds { 200 }) {
            peers.recordMessage(leaving, message, now);
            EXPECT_TRUE(isTarget(now));
            const std::vector<Endpoint> local = peers.localZonePeers();
            EXPECT_NE(std::ranges::find(local, leaving), local.end());
        }
        peers.nextTargets(now + std::chrono::seconds { 5 });
        const std::vector<Endpoint> local = peers.localZonePeers();
        EXPECT_EQ(std::ranges::find(local, leaving), local.end());
    }

    // The VMs that its seeds name have left when a VM starts again. The others look for it (review/13).
    TEST(ExchangePeersTest, aVmThatStartsAgainWithoutSeedsIsFoundByItsFormerPeers)
    {
        for (const bool isAnnounced : { true, false }) {
            Fleet fleet { 4, 1 };
            fleet.run(std::chrono::seconds { 2 });
            Fleet::Vm& restarted = *fleet.m_vms[2];
            if (isAnnounced) {
                LoadMessage message;
                message.m_leaving = true;
                for (const std::size_t other : { 0, 1, 3 })
                    fleet.m_vms[other]->m_peers.recordMessage(restarted.m_self, message, fleet.m_now);
            }
            for (const std::size_t gone : { 0, 1, 2 }) // the first two are the seeds
                fleet.m_vms[gone]->m_isAlive = false;
            fleet.run(std::chrono::seconds { 5 });
            restarted.m_peers
                = ExchangePeers { restarted.m_self, restarted.m_zone, std::vector<Endpoint> { { 1, c_port } } };
            restarted.m_isAlive = true;
            EXPECT_FALSE(restarted.m_peers.hasContact(fleet.m_now));
            fleet.run(std::chrono::seconds { 2 });
            EXPECT_TRUE(restarted.m_peers.hasContact(fleet.m_now));
            const std::vector<Endpoint> found = fleet.m_vms[3]->m_peers.localZonePeers();
            EXPECT_NE(std::ranges::find(found, restarted.m_self), found.end());
        }
    }

    // A partition of minutes makes two groups forget each other, and no seed is left in one of them.
    TEST(ExchangePeersTest, groupsThatForgotEachOtherMeetAgain)
    {
        const Endpoint other { 9, c_port };
        ExchangePeers peers { { 1, c_port }, { 1 }, {} };
        LoadMessage message;
        message.m_zone = { 2 };
        Instant now { std::chrono::seconds { 100 } };
        peers.recordMessage(other, message, now);
        now += std::chrono::minutes { 5 };
        peers.nextTargets(now);
        EXPECT_EQ(peers.size(), 0u);
        now += std::chrono::seconds { 1 };
        EXPECT_EQ(peers.nextTargets(now), std::vector<Endpoint> { other });
        now += std::chrono::minutes { 6 };
        peers.nextTargets(now);
        EXPECT_TRUE(peers.nextTargets(now + std::chrono::seconds { 1 }).empty());
    }

    TEST(ExchangePeersTest, newSeedsAreContacted)
    {
        const Endpoint seed { 9, c_port };
        ExchangePeers peers { { 1, c_port }, { 1 }, {} };
        const Instant now { std::chrono::seconds { 100 } };
        EXPECT_TRUE(peers.nextTargets(now).empty());
        peers.setSeeds(std::vector<Endpoint> { seed });
        EXPECT_EQ(peers.nextTargets(now + std::chrono::seconds { 1 }), std::vector<Endpoint> { seed });
    }

    // Peers of a VM that runs for longer than flows live say each time that they know contested flows of that time.
    TEST(ExchangePeersTest, aPeerIsIntroducedAgainOnlyIfItKnowsLess)
    {
        ExchangePeers peers { { 1, c_port }, { 1 }, {} };
        LoadMessage message;
        message.m_zone = { 1 };
        message.m_contestedKnownFor = c_departedRetention / milliseconds { 1 } * milliseconds { 1 };
        Instant now { std::chrono::seconds { 100 } };
        peers.recordMessage({ 2, c_port }, message, now);
        EXPECT_EQ(peers.takeNewPeers().size(), 1u);
        for (int i = 0; i < 5; ++i) {
            now += std::chrono::seconds { 2 };
            peers.recordMessage({ 2, c_port }, message, now);
            EXPECT_TRUE(peers.takeNewPeers().empty());
        }
        message.m_contestedKnownFor = milliseconds { 20 };
        peers.recordMessage({ 2, c_port }, message, now + std::chrono::seconds { 1 });
        EXPECT_EQ(peers.takeNewPeers().size(), 1u);
    }

    // A VM that knows of newer declarations must not refuse a service that they may have added, also after the VM that
    // announced them has left (review/5).
    TEST(ExchangePeersTest, newerDeclarationsAreKnownAfterTheirPeerHasLeft)
    {
        const Instant now { std::chrono::seconds { 100 } };
        ExchangePeers peers { { 1, c_port }, { 1 }, {} };
        LoadMessage message;
        message.m_zone = { 2 };
        message.m_storeVersions = { { 40 }, { 7 } };
        peers.recordMessage({ 2, c_port }, message, now);
        EXPECT_TRUE(peers.hasNewerDeclarations({ 6 }));
        EXPECT_FALSE(peers.hasNewerDeclarations({ 7 }));
        message.m_leaving = true;
        message.m_storeVersions = { { 41 }, { 8 } };
        peers.recordMessage({ 2, c_port }, message, now + std::chrono::seconds { 1 });
        EXPECT_EQ(peers.size(), 0u);
        EXPECT_TRUE(peers.hasNewerDeclarations({ 7 }));
        EXPECT_FALSE(peers.hasNewerDeclarations({ 8 }));
    }

    TEST(ExchangePeersTest, aStateIsConfirmedOnlyByPeersWithoutLaterChanges)
    {
        const Instant now { std::chrono::seconds { 100 } };
        ExchangePeers peers { { 1, c_port }, { 1 }, {} };
        LoadMessage message;
        message.m_zone = { 1 };
        message.m_storeVersions = { { 40 }, { 7 } };
        peers.recordMessage({ 2, c_port }, message, now);
        EXPECT_EQ(peers.stateConfirmedAt({ { 40 }, { 7 } }), Instant {}); // that peer does not know its age
        message.m_stateAge = milliseconds { 300 };
        peers.recordMessage({ 2, c_port }, message, now);
        EXPECT_EQ(peers.stateConfirmedAt({ { 39 }, { 7 } }), Instant {});
        EXPECT_EQ(peers.stateConfirmedAt({ { 40 }, { 6 } }), Instant {});
        const Instant confirmedAt = peers.stateConfirmedAt({ { 40 }, { 7 } });
        EXPECT_LE(confirmedAt, now - milliseconds { 300 });
        EXPECT_GE(confirmedAt, now - milliseconds { 350 });
        message.m_stateAge = milliseconds { 900 };
        peers.recordMessage({ 3, c_port }, message, now);
        EXPECT_EQ(peers.stateConfirmedAt({ { 41 }, { 7 } }), confirmedAt); // an older word takes nothing back
    }

    // After a restore, a VM that has not read the new era yet confirms a state that lacks nothing, and one that has
    // read it confirms a state that this VM does not have.
    TEST(ExchangePeersTest, aStateIsConfirmedOnlyByPeersOfItsEra)
    {
        const Instant now { std::chrono::seconds { 100 } };
        ExchangePeers peers { { 1, c_port }, { 1 }, {} };
        LoadMessage message;
        message.m_zone = { 1 };
        message.m_stateAge = milliseconds { 300 };
        message.m_storeVersions = { { 40 }, { 7 } };
        peers.recordMessage({ 2, c_port }, message, now);
        const StoreVersions restored { { 30, 1 }, { 7 } };
        EXPECT_NE(peers.stateConfirmedAt({ { 40 }, { 7 } }), Instant {});
        EXPECT_EQ(peers.stateConfirmedAt(restored), Instant {});
        message.m_storeVersions = restored;
        peers.recordMessage({ 3, c_port }, message, now);
        EXPECT_NE(peers.stateConfirmedAt(restored), Instant {});
        EXPECT_EQ(peers.stateConfirmedAt({ { 29, 1 }, { 7 } }), peers.stateConfirmedAt(restored)); // takes nothing back
        EXPECT_EQ(peers.stateConfirmedAt({ { 30, 2 }, { 7 } }), Instant {}); // a second restore
    }

    TEST(ExchangePeersTest, aStateOfANewerEraIsRequestedThoughItsRevisionIsLower)
    {
        const Instant now { std::chrono::seconds { 100 } };
        ExchangePeers peers { { 1, c_port }, { 1 }, {} };
        LoadMessage message;
        message.m_zone = { 1 };
        message.m_storeVersions = { { 30, 1 }, { 7 } };
        peers.recordMessage({ 2, c_port }, message, now);
        EXPECT_EQ(peers.peerWithNewerState({ { 40 }, { 7 } }, now), (Endpoint { 2, c_port }));
        EXPECT_EQ(peers.peerWithNewerState({ { 1, 2 }, { 7 } }, now), std::nullopt);
    }

} // namespace
} // namespace cuminrelay
