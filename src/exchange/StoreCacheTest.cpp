#include "exchange/StoreCache.h"

#include "discovery/WatchSchedule.h"
#include "exchange/StoreUpdateMessage.h"
#include "exchange/StoreUpdateServer.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>
#include <utility>

namespace cuminrelay {
namespace {

    constexpr Instant c_now { std::chrono::seconds { 100 } };

    AnnouncedBackend makeBackend(std::uint64_t identity, std::string_view zone = "a")
    {
        AnnouncedBackend backend;
        backend.m_identity = { identity };
        backend.m_startedAtUnixMs = 40;
        backend.m_server.m_slots = 2;
        backend.m_warmAt = c_now;
        backend.m_server.m_name = "i-" + std::to_string(identity);
        backend.m_server.m_zone = zone;
        backend.m_server.m_tunnel = { static_cast<std::uint32_t>(identity), 8080 };
        backend.m_server.m_report = backend.m_server.m_tunnel;
        backend.m_server.m_labels.emplace("app", "agenda");
        return backend;
    }

    ServiceDeclarations makeDeclarations(std::uint64_t version, const std::vector<std::string>& names)
    {
        ServiceDeclarations declarations;
        declarations.m_version = { version };
        const Selector selector { { { "app", SelectorOperator::Equals, { "agenda" } } } };
        for (const std::string& name : names)
            declarations.m_services.push_back(
                { name, { 1, static_cast<std::uint16_t>(name.size()) }, RequestKind::Idempotent, { { selector, 3 } } });
        declarations.m_healthChecks = { { selector, "/health" } };
        return declarations;
    }

    /// Stores the changes as a receiving VM does, encoded and decoded.
    void applyStoreUpdate(StoreCache& storeCache, const StoreUpdate& sent, Instant now = c_now)
    {
        const Outcome<StoreUpdate> decoded = decodeStoreUpdate(encodeStoreUpdate(sent, now), now);
        ASSERT_TRUE(decoded.has_value()) << decoded.error().m_message;
        const StoreUpdate& update = decoded.value();
        if (update.m_isComplete)
            storeCache.apply(storeCache.reconciled(storeCache.withoutUnreadable(listOf(update)), now));
        else
            storeCache.apply(storeCache.reconciled(storeCache.withoutUnreadable(changesOf(update))));
        if (update.m_declarations) {
            const std::optional<ServiceDeclarations> merged = storeCache.merged(*update.m_declarations);
            ASSERT_TRUE(merged.has_value());
            storeCache.apply(*merged, update.m_declarationsRevision);
        }
    }

    std::vector<std::uint64_t> identitiesOf(const StoreCache& storeCache)
    {
        std::vector<std::uint64_t> identities;
        for (const AnnouncedBackend& backend : storeCache.updateSince({}).m_backends)
            identities.push_back(backend.m_identity.m_value);
        return identities;
    }

    TEST(StoreCacheTest, onlyChangesAreSent)
    {
        StoreCache storeCache;
        storeCache.apply(BackendList { { makeBackend(1), makeBackend(2) }, {}, { 10 } });
        storeCache.apply(BackendChanges { { { { 3 }, makeBackend(3) }, { { 1 }, {} } }, {}, { 12 } });
        const StoreUpdate update = storeCache.updateSince({ { 10 }, {} });
        EXPECT_FALSE(update.m_isComplete);
        ASSERT_EQ(update.m_backends.size(), 1u);
        EXPECT_EQ(update.m_backends[0].m_identity.m_value, 3u);
        ASSERT_EQ(update.m_withdrawn.size(), 1u);
        EXPECT_EQ(update.m_withdrawn[0].m_value, 1u);
        EXPECT_TRUE(storeCache.updateSince({}).m_isComplete);
    }

    // A backend server whose entry expired and came back between two lists looks unchanged to the sending VM.
    TEST(StoreCacheTest, aVmWithARevisionBetweenTwoListsGetsACompleteUpdate)
    {
        StoreCache sender;
        sender.apply(BackendList { { makeBackend(1), makeBackend(2) }, {}, { 10 } });
        StoreCache receiver;
        receiver.apply(BackendList { { makeBackend(1) }, {}, { 15 } });
        sender.apply(BackendList { { makeBackend(1), makeBackend(2) }, {}, { 20 } });
        applyStoreUpdate(receiver, sender.updateSince(receiver.state()));
        EXPECT_EQ(identitiesOf(receiver), identitiesOf(sender));
    }

    // A service that was removed and declared again looks unchanged to a VM that missed the version without it.
    TEST(StoreCacheTest, aVmWithAVersionThatTheSenderMissedGetsAllServices)
    {
        StoreCache sender;
        sender.apply(makeDeclarations(1, { "a", "bb" }), { 1 });
        StoreCache receiver;
        receiver.apply(makeDeclarations(2, { "a" }), { 2 });
        sender.apply(makeDeclarations(3, { "a", "bb" }), { 3 });
        const StoreUpdate update = sender.updateSince(receiver.state());
        ASSERT_TRUE(update.m_declarations.has_value());
        const std::optional<ServiceDeclarations> merged = receiver.merged(*update.m_declarations);
        ASSERT_TRUE(merged.has_value());
        EXPECT_EQ(merged->m_services.size(), 2u);
    }

    TEST(StoreCacheTest, anOlderStateIsRejected)
    {
        StoreCache storeCache;
        storeCache.apply(BackendList { { makeBackend(1) }, {}, { 10 } });
        EXPECT_FALSE(storeCache.apply(BackendList { {}, {}, { 9 } }));
        EXPECT_FALSE(storeCache.apply(BackendChanges { { { { 1 }, {} } }, {}, { 10 } }));
        storeCache.apply(makeDeclarations(5, { "a" }), { 10 });
        EXPECT_FALSE(storeCache.apply(makeDeclarations(5, {}), { 11 }));
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
    }

    TEST(StoreCacheTest, aFollowerThatRequestsUpdatesReachesTheStateOfTheReader)
    {
        StoreCache reader;
        StoreCache follower;
        reader.apply(BackendList { { makeBackend(1), makeBackend(2) }, {}, { 10 } });
        reader.apply(makeDeclarations(1, { "a", "bb", "ccc" }), { 10 });
        applyStoreUpdate(follower, reader.updateSince(follower.state()));
        reader.apply(BackendChanges { { { { 2 }, {} } }, {}, { 11 } });
        reader.apply(makeDeclarations(4, { "a", "ccc", "dddd" }), { 12 });
        reader.apply(BackendChanges { { { { 4 }, makeBackend(4) } }, {}, { 13 } });
        const StoreUpdate update = reader.updateSince(follower.state());
        ASSERT_TRUE(update.m_declarations.has_value());
        EXPECT_EQ(update.m_declarations->m_changed.size(), 1u);
        EXPECT_EQ(update.m_declarations->m_removed, std::vector<std::string> { "bb" });
        applyStoreUpdate(follower, update);
        EXPECT_EQ(follower.state(), reader.state());
        EXPECT_EQ(identitiesOf(follower), identitiesOf(reader));
        const DeclarationUpdate all = *follower.updateSince({}).m_declarations;
        ASSERT_EQ(all.m_changed.size(), 3u);
        EXPECT_EQ(all.m_changed[2].m_name, "dddd");
        EXPECT_EQ(all.m_otherFields.m_healthChecks.size(), 1u);
    }

    TEST(StoreCacheTest, anEmptyCacheRejectsAnIncrementalUpdate)
    {
        DeclarationUpdate incremental;
        incremental.m_otherFields.m_version = { 3 };
        EXPECT_FALSE(StoreCache {}.merged(incremental).has_value());
    }

    TEST(StoreCacheTest, afterTooManyWithdrawalsTheUpdateIsComplete)
    {
        StoreCache storeCache;
        storeCache.apply(BackendList { {}, {}, { 1 } });
        for (std::uint64_t i = 0; i <= StoreCache::s_maxRemovals; ++i) {
            storeCache.apply(BackendChanges { { { { i + 1 }, makeBackend(i + 1) } }, {}, { 2 * i + 2 } });
            storeCache.apply(BackendChanges { { { { i + 1 }, {} } }, {}, { 2 * i + 3 } });
        }
        EXPECT_TRUE(storeCache.updateSince({ { 2 }, {} }).m_isComplete);
        EXPECT_FALSE(storeCache.updateSince({ { 100 }, {} }).m_isComplete);
    }

    std::optional<bool> isDraining(const StoreCache& storeCache, std::uint64_t identity)
    {
        for (const AnnouncedBackend& backend : storeCache.updateSince({}).m_backends) {
            if (backend.m_identity.m_value == identity)
                return backend.m_server.m_draining;
        }
        return std::nullopt;
    }

    // An unreadable entry names no backend server to use; the one that it named before still runs.
    TEST(StoreCacheTest, anUnreadableEntryTakesNoNewFlowsUntilItCanBeReadAgain)
    {
        StoreCache storeCache;
        storeCache.apply(BackendList { { makeBackend(1), makeBackend(2) }, {}, { 10 } });
        storeCache.apply(storeCache.withoutUnreadable(BackendChanges { { { { 1 }, {}, "i-1", true } }, {}, { 11 } }));
        EXPECT_EQ(isDraining(storeCache, 1), true);
        EXPECT_EQ(isDraining(storeCache, 2), false);
        const StoreUpdate update = storeCache.updateSince({ { 10 }, {} });
        ASSERT_EQ(update.m_backends.size(), 1u); // other VMs learn of it
        EXPECT_TRUE(update.m_backends[0].m_server.m_draining);
        storeCache.apply(BackendChanges { { { { 1 }, makeBackend(1) } }, {}, { 12 } });
        EXPECT_EQ(isDraining(storeCache, 1), false);
    }

    TEST(StoreCacheTest, anUnreadableEntryInAListKeepsItsBackendServerDraining)
    {
        StoreCache storeCache;
        storeCache.apply(BackendList { { makeBackend(1), makeBackend(2) }, {}, { 10 } });
        storeCache.apply(storeCache.withoutUnreadable(
            BackendList { { makeBackend(2) }, { { "i-1", { 15 }, "odd", BackendIdentity { 1 } } }, { 20 } }));
        EXPECT_EQ(isDraining(storeCache, 1), true);
        EXPECT_EQ(isDraining(storeCache, 2), false);
    }

    TEST(StoreCacheTest, unreadableEntriesOfOtherNamesChangeNothing)
    {
        StoreCache storeCache;
        storeCache.apply(BackendList { { makeBackend(1) }, {}, { 10 } });
        const std::vector<UnreadableEntry> others { { "notes-1", { 11 }, "odd" }, { "", {}, "odd" },
            { "i-9", {}, "", BackendIdentity { 9 } }, { "i-01", { 11 }, "odd", BackendIdentity { 1 } } };
        storeCache.apply(storeCache.withoutUnreadable(
            BackendChanges { { { { 9 }, {}, "i-9", true }, { { 1 }, {}, "i-01", true } }, others, { 11 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
        storeCache.apply(storeCache.withoutUnreadable(BackendList { { makeBackend(1) }, others, { 12 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
    }

    // A number can be written with leading zeros. Another writer's entry took the record of a live backend server.
    TEST(StoreCacheTest, entriesOfOtherNamesWithAKnownIdentityChangeNothing)
    {
        AnnouncedBackend stray = makeBackend(1);
        stray.m_server.m_name = "i-01";
        stray.m_server.m_draining = true;
        --stray.m_startedAtUnixMs;
        StoreCache storeCache;
        storeCache.apply(storeCache.withoutUnreadable(BackendList { { stray, makeBackend(1) }, {}, { 10 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        storeCache.apply(storeCache.withoutUnreadable(BackendChanges { { { { 1 }, stray, "i-01" } }, {}, { 11 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        storeCache.apply(storeCache.withoutUnreadable(BackendList { { makeBackend(1), stray }, {}, { 12 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        storeCache.apply(storeCache.withoutUnreadable(BackendChanges { { { { 1 }, {}, "i-01" } }, {}, { 13 } }));
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
        storeCache.apply(storeCache.withoutUnreadable(BackendChanges { { { { 1 }, {}, "i-1" } }, {}, { 14 } }));
        EXPECT_TRUE(identitiesOf(storeCache).empty());
    }

    // Another writer's entry reached a VM that did not know the backend server before the server's own entry did.
    TEST(StoreCacheTest, theLaterStartCountsInAnyOrderOfChanges)
    {
        AnnouncedBackend stray = makeBackend(1);
        stray.m_server.m_name = "i-01";
        --stray.m_startedAtUnixMs;
        for (const bool isStrayFirst : { true, false }) {
            StoreCache storeCache;
            storeCache.apply(BackendList { {}, {}, { 10 } });
            const BackendChange own { { 1 }, makeBackend(1), "i-1" };
            const BackendChange other { { 1 }, stray, "i-01" };
            storeCache.apply(storeCache.withoutUnreadable(
                BackendChanges { { isStrayFirst ? other : own, isStrayFirst ? own : other }, {}, { 11 } }));
            ASSERT_EQ(storeCache.updateSince({}).m_backends.size(), 1u);
            EXPECT_EQ(storeCache.updateSince({}).m_backends[0].m_server.m_name, "i-1");
        }
    }

    // A VM that started while an entry could not be read sent its list to the others. They took the backend server for
    // gone, and reset its flows.
    TEST(StoreCacheTest, aListOfAVmThatCannotReadAnEntryWithdrawsNothing)
    {
        StoreCache storeCache;
        storeCache.apply(BackendList { { makeBackend(1), makeBackend(2) }, {}, { 10 } });
        StoreCache started;
        started.apply(started.withoutUnreadable(
            BackendList { { makeBackend(2) }, { { "i-1", { 11 }, "odd", BackendIdentity { 1 } } }, { 11 } }));
        EXPECT_EQ(identitiesOf(started), std::vector<std::uint64_t> { 2 });
        applyStoreUpdate(storeCache, started.updateSince(storeCache.state()));
        EXPECT_EQ(isDraining(storeCache, 1), true);
        EXPECT_EQ(isDraining(storeCache, 2), false);
        // The other way round, the started VM gets to know the backend server.
        EXPECT_EQ(started.unreadable().size(), 1u);
        applyStoreUpdate(started, storeCache.updateSince({}));
        EXPECT_EQ(isDraining(started, 1), true);
        EXPECT_TRUE(started.unreadable().empty());
        started.apply(started.withoutUnreadable(BackendChanges { { { { 1 }, {}, "i-1" } }, {}, { 12 } }));
        EXPECT_EQ(identitiesOf(started), std::vector<std::uint64_t> { 2 });
    }

    // Entries that another VM with an older program accepted.
    TEST(StoreCacheTest, unusableBackendServersInAnUpdateLeadToNoBackendServer)
    {
        StoreUpdate update;
        update.m_isComplete = true;
        update.m_backendsRevision = { 20 };
        update.m_backends = { makeBackend(0), makeBackend(1), makeBackend(2), makeBackend(3), makeBackend(4) };
        update.m_backends[1].m_startedAtUnixMs = 0;
        update.m_backends[2].m_server.m_slots = 0;
        update.m_backends[3].m_server.m_tunnel.m_port = 0;
        StoreCache storeCache;
        applyStoreUpdate(storeCache, update);
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 4 });
    }

    /// Takes over a list of the store as an entry VM does.
    bool read(StoreCache& storeCache, const BackendList& list, Instant now = c_now)
    {
        return storeCache.apply(storeCache.reconciled(list, now));
    }

    AnnouncedBackend makeWritten(std::uint64_t identity, std::uint64_t sequence, bool isDraining = false)
    {
        AnnouncedBackend backend = makeBackend(identity);
        backend.m_startedAtUnixMs = 50;
        backend.m_sequence = sequence;
        backend.m_server.m_draining = isDraining;
        return backend;
    }

    // By revision alone, the restored store is ignored until it passes the revisions that it had before.
    TEST(StoreCacheTest, listsAndChangesAreOrderedByEraFirst)
    {
        StoreCache storeCache;
        ASSERT_TRUE(read(storeCache, { { makeWritten(1, 1) }, {}, { 40 } }));
        EXPECT_FALSE(
            storeCache.apply(BackendChanges { { { { 2 }, makeWritten(2, 1) } }, {}, { 12, 1 } })); // no list yet
        ASSERT_TRUE(read(storeCache, { { makeWritten(1, 1) }, {}, { 10, 1 } }));
        EXPECT_EQ(storeCache.state().m_backends, (StoreRevision { 10, 1 }));
        EXPECT_FALSE(read(storeCache, { {}, {}, { 90 } }));
        EXPECT_FALSE(storeCache.apply(BackendChanges { { { { 1 }, {} } }, {}, { 90 } }));
        EXPECT_TRUE(storeCache.apply(BackendChanges { { { { 2 }, makeWritten(2, 1) } }, {}, { 12, 1 } }));
        EXPECT_EQ(identitiesOf(storeCache), (std::vector<std::uint64_t> { 1, 2 }));
    }

    // Changes relative to a revision that was given out again would be those of another history.
    TEST(StoreCacheTest, aVmOfAnEarlierEraGetsACompleteUpdate)
    {
        StoreCache storeCache;
        read(storeCache, { { makeWritten(1, 1), makeWritten(2, 1) }, {}, { 10 } });
        read(storeCache, { { makeWritten(1, 1), makeWritten(2, 1) }, {}, { 5, 1 } });
        for (const std::uint64_t number : { 5U, 10U, 90U })
            EXPECT_TRUE(storeCache.updateSince({ { number }, {} }).m_isComplete) << number;
        EXPECT_EQ(storeCache.updateSince({ { 90 }, {} }).m_backends.size(), 2u);
        EXPECT_FALSE(storeCache.updateSince({ { 5, 1 }, {} }).m_isComplete);
    }

    // A VM that keeps a missing entry because another one does would pass it on and on.
    TEST(StoreCacheTest, aRetainedEntryIsNotSent)
    {
        StoreCache storeCache;
        read(storeCache, { { makeWritten(1, 1), makeWritten(2, 1) }, {}, { 10 } });
        read(storeCache, { { makeWritten(1, 1) }, {}, { 5, 1 } });
        EXPECT_EQ(storeCache.restored().retained(), 1u);
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
        EXPECT_TRUE(storeCache.updateSince({ { 4, 1 }, {} }).m_withdrawn.empty());
        storeCache.apply(storeCache.reconciled(BackendChanges { { { { 2 }, makeWritten(2, 2) } }, {}, { 6, 1 } }));
        EXPECT_EQ(identitiesOf(storeCache), (std::vector<std::uint64_t> { 1, 2 }));
        EXPECT_TRUE(storeCache.takeGone(c_now + std::chrono::seconds { 10 }).empty());
    }

    TEST(StoreCacheTest, anEntryThatStaysMissingIsWithdrawn)
    {
        StoreCache storeCache;
        read(storeCache, { { makeWritten(1, 1), makeWritten(2, 1) }, {}, { 10 } });
        read(storeCache, { { makeWritten(1, 1) }, {}, { 5, 1 } });
        EXPECT_TRUE(storeCache.takeGone(c_now + std::chrono::seconds { 2 }).empty());
        EXPECT_EQ(storeCache.takeGone(c_now + WatchSchedule::s_restoreSettleTime),
            std::vector<BackendIdentity> { BackendIdentity { 2 } });
        // A second copy that holds it again does not bring it back.
        read(
            storeCache, { { makeWritten(1, 1), makeWritten(2, 1) }, {}, { 5, 2 } }, c_now + std::chrono::seconds { 3 });
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
    }

    // A program without eras announces the revisions of before the restore, which are higher.
    TEST(StoreCacheTest, anUpdateWithoutAnEraIsRejectedAfterANewerEra)
    {
        StoreCache older;
        read(older, { { makeWritten(1, 1), makeWritten(3, 1) }, {}, { 90 } });
        StoreCache storeCache;
        read(storeCache, { { makeWritten(1, 2, true) }, {}, { 10, 1 } });
        applyStoreUpdate(storeCache, older.updateSince(storeCache.state()));
        applyStoreUpdate(storeCache, older.updateSince({ { 90 }, {} }));
        EXPECT_EQ(storeCache.state().m_backends, (StoreRevision { 10, 1 }));
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
        EXPECT_EQ(isDraining(storeCache, 1), true);
    }

    // An acknowledged version stays in force although the copy holds an earlier one.
    TEST(StoreCacheTest, declarationsOfTheCopyDoNotReplaceNewerOnes)
    {
        StoreCache storeCache;
        storeCache.apply(makeDeclarations(7, { "a", "bb" }), { 40 });
        EXPECT_FALSE(storeCache.apply(makeDeclarations(6, { "a" }), { 10, 1 }));
        EXPECT_EQ(storeCache.state().m_declarations, (ConfigVersion { 7 }));
        EXPECT_TRUE(storeCache.apply(makeDeclarations(8, { "a" }), { 11, 1 }));
    }

    std::vector<std::pair<std::uint64_t, bool>> contentOf(const StoreCache& storeCache)
    {
        std::vector<std::pair<std::uint64_t, bool>> content;
        for (const AnnouncedBackend& backend : storeCache.updateSince({}).m_backends)
            content.emplace_back(backend.m_identity.m_value, backend.m_server.m_draining);
        return content;
    }

    // Whoever reads the new era first, and whatever each VM knew of the old one, both get to the content of the store.
    RC_GTEST_PROP(StoreCacheRestoreTest, vmsOfTwoErasConverge, (bool firstKnowsAll, bool secondKnowsAll))
    {
        const BackendList copy { { makeWritten(1, 1), makeWritten(2, 1), makeWritten(3, 1) }, {}, { 20 } };
        // After the copy, 1 drains, 2 leaves and 4 and 5 start. 5 ends with the restore.
        const BackendChanges lost { { { { 1 }, makeWritten(1, 2, true) }, { { 2 }, {} }, { { 4 }, makeWritten(4, 1) },
                                        { { 5 }, makeWritten(5, 1) } },
            {}, { 30 } };
        std::array<StoreCache, 2> vms;
        const std::array<bool, 2> knowsAll { firstKnowsAll, secondKnowsAll };
        for (std::size_t i = 0; i < vms.size(); ++i) {
            read(vms[i], copy);
            if (knowsAll[i])
                vms[i].apply(vms[i].reconciled(lost));
        }
        std::map<std::uint64_t, AnnouncedBackend> stored;
        for (const AnnouncedBackend& backend : copy.m_backends)
            stored.emplace(backend.m_identity.m_value, backend);
        std::uint64_t revision = 20;
        Instant now = c_now;
        const auto listStore = [&] {
            BackendList list { {}, {}, { revision, 1 } };
            for (const auto& [identity, backend] : stored)
                list.m_backends.push_back(backend);
            return list;
        };
        const auto exchange = [&](std::size_t receiver) {
            StoreCache& sender = vms[1 - receiver];
            if (sender.state().m_backends > vms[receiver].state().m_backends)
                applyStoreUpdate(vms[receiver], sender.updateSince(vms[receiver].state()), now);
        };
        const std::vector<AnnouncedBackend> rewritten { makeWritten(1, 3, true), makeWritten(3, 2), makeWritten(4, 2) };
        std::size_t writes = 0;
        for (int step = 0; step < 10; ++step) {
            now += std::chrono::milliseconds { 200 };
            const std::size_t vm = *rc::gen::inRange<std::size_t>(0, 2);
            const int action = *rc::gen::inRange(0, 3);
            if (action == 0)
                read(vms[vm], listStore(), now);
            else if (action == 1)
                exchange(vm);
            else if (writes < rewritten.size()) {
                stored[rewritten[writes].m_identity.m_value] = rewritten[writes];
                ++writes;
                ++revision;
            }
            for (const StoreCache& storeCache : vms) {
                // 1 drains, 2 has left: whoever knows it does not use them for new flows.
                if (&storeCache == &vms[0] ? firstKnowsAll : secondKnowsAll) {
                    RC_ASSERT(isDraining(storeCache, 1) == std::optional { true });
                    RC_ASSERT(!isDraining(storeCache, 2).has_value());
                }
            }
        }
        for (; writes < rewritten.size(); ++writes, ++revision)
            stored[rewritten[writes].m_identity.m_value] = rewritten[writes];
        stored.erase(2); // expires, as nobody writes it
        ++revision;
        const std::size_t reader = *rc::gen::inRange<std::size_t>(0, 2);
        read(vms[reader], listStore(), now);
        exchange(1 - reader);
        for (StoreCache& storeCache : vms)
            storeCache.takeGone(now + WatchSchedule::s_restoreSettleTime);
        const std::vector<std::pair<std::uint64_t, bool>> expected { { 1, true }, { 3, false }, { 4, false } };
        RC_ASSERT(contentOf(vms[0]) == expected);
        RC_ASSERT(contentOf(vms[1]) == expected);
        RC_ASSERT(vms[0].state() == vms[1].state());
    }

    /// The entries of a store, whoever wrote them, and the changes that led to them.
    class StoreModel {
    public:
        static constexpr std::uint64_t s_identities = 4;

        struct Change {
            BackendChange m_change;
            StoreRevision m_revision;
        };

        /// Writes an entry, which may be one that cannot be read, or removes it.
        void change()
        {
            const std::uint64_t identity = *rc::gen::inRange<std::uint64_t>(1, s_identities + 1);
            BackendChange change { { identity }, {}, makeBackend(identity).m_server.m_name };
            const int kind = *rc::gen::inRange(0, 4);
            if (kind >= 2) {
                change.m_backend = makeBackend(identity);
                change.m_backend->m_server.m_draining = kind == 3;
                change.m_backend->m_startedAtUnixMs = *rc::gen::inRange<std::uint64_t>(1, 4);
                change.m_backend->m_sequence = ++m_revision.m_number;
            } else {
                change.m_isUnreadable = kind == 1;
                ++m_revision.m_number;
            }
            m_entries.insert_or_assign(identity, change);
            m_changes.push_back({ change, m_revision });
        }

        BackendList list() const
        {
            BackendList list { {}, { { "backup-1", m_revision, "odd" } }, m_revision };
            for (const auto& [identity, entry] : m_entries) {
                if (entry.m_backend)
                    list.m_backends.push_back(*entry.m_backend);
                else if (entry.m_isUnreadable)
                    list.m_unreadable.push_back({ entry.m_name, m_revision, "odd", entry.m_identity });
            }
            if (*rc::gen::arbitrary<bool>())
                std::ranges::reverse(list.m_backends);
            return list;
        }

        BackendChanges changesSince(StoreRevision revision) const
        {
            BackendChanges changes { {}, {}, m_revision };
            for (const Change& change : m_changes) {
                if (change.m_revision > revision)
                    changes.m_changes.push_back(change.m_change);
            }
            return changes;
        }

        bool wasRemoved(std::uint64_t identity, StoreRevision after, StoreRevision until) const
        {
            return std::ranges::any_of(m_changes, [&](const Change& change) {
                const bool isRemoval = !change.m_change.m_backend && !change.m_change.m_isUnreadable;
                return isRemoval && change.m_change.m_identity.m_value == identity && change.m_revision > after
                    && change.m_revision <= until;
            });
        }

        std::map<std::uint64_t, BackendChange> m_entries;
        StoreRevision m_revision { 10 };

    private:
        std::vector<Change> m_changes;
    };

    std::map<std::uint64_t, AnnouncedBackend> backendsOf(const StoreCache& storeCache)
    {
        std::map<std::uint64_t, AnnouncedBackend> backends;
        for (const AnnouncedBackend& backend : storeCache.updateSince({}).m_backends)
            backends.emplace(backend.m_identity.m_value, backend);
        return backends;
    }

    /// An entry VM gets the store's state: from the store, or from another VM with a newer one.
    void synchronize(StoreCache& storeCache, const StoreModel& store, const StoreCache& other)
    {
        const StoreVersions held = storeCache.state();
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            storeCache.apply(storeCache.withoutUnreadable(store.list()));
            break;
        case 1:
            if (held.m_backends != StoreRevision {})
                storeCache.apply(storeCache.withoutUnreadable(store.changesSince(held.m_backends)));
            break;
        case 2:
            if (other.state().m_backends > held.m_backends)
                applyStoreUpdate(storeCache, other.updateSince(held));
            break;
        default: // to get to know the backend servers of unreadable entries
            if (other.state().m_backends >= held.m_backends)
                applyStoreUpdate(storeCache, other.updateSince({}));
            break;
        }
    }

    // What a VM holds followed from the order in which it had learned of entries, and a list of another VM withdrew
    // backend servers whose entries were there (review/7).
    RC_GTEST_PROP(StoreCacheConvergenceTest, theStateFollowsFromTheStore, ())
    {
        StoreModel store;
        std::array<StoreCache, 3> vms;
        const int steps = *rc::gen::inRange(5, 60);
        for (int step = 0; step < steps; ++step) {
            const std::size_t vm = *rc::gen::inRange<std::size_t>(0, vms.size());
            const int action = *rc::gen::inRange(0, 8);
            if (action < 3) {
                store.change();
            } else if (action == 3) {
                vms[vm] = StoreCache {}; // restart
            } else {
                const std::map<std::uint64_t, AnnouncedBackend> before = backendsOf(vms[vm]);
                const StoreRevision revisionBefore = vms[vm].state().m_backends;
                synchronize(vms[vm], store, vms[(vm + 1) % vms.size()]);
                const std::map<std::uint64_t, AnnouncedBackend> after = backendsOf(vms[vm]);
                for (const auto& [identity, backend] : before) {
                    RC_ASSERT(after.contains(identity)
                        || store.wasRemoved(identity, revisionBefore, vms[vm].state().m_backends));
                }
            }
        }
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            while (vms[vm].state().m_backends != store.m_revision)
                synchronize(vms[vm], store, vms[(vm + 1) % vms.size()]);
            const std::map<std::uint64_t, AnnouncedBackend> held = backendsOf(vms[vm]);
            for (std::uint64_t identity = 1; identity <= StoreModel::s_identities; ++identity) {
                const auto entry = store.m_entries.find(identity);
                const auto backend = held.find(identity);
                const bool isHeld = backend != held.end();
                if (entry != store.m_entries.end() && entry->second.m_backend) {
                    RC_ASSERT(isHeld);
                    RC_ASSERT(backend->second.m_server == entry->second.m_backend->m_server);
                    RC_ASSERT(backend->second.m_startedAtUnixMs == entry->second.m_backend->m_startedAtUnixMs);
                } else if (entry != store.m_entries.end() && entry->second.m_isUnreadable) {
                    RC_ASSERT(!isHeld || backend->second.m_server.m_draining);
                } else {
                    RC_ASSERT(!isHeld);
                }
            }
        }
    }

    TEST(StoreUpdateServerTest, theTargetHoldsTheStoreVersions)
    {
        for (const StoreVersions& held : { StoreVersions { { 12 }, { 34 } }, StoreVersions { { 12, 3 }, { 34 } } }) {
            const Outcome<StoreVersions> parsed = parseStoreUpdateTarget(storeUpdateTarget(held));
            ASSERT_TRUE(parsed.has_value());
            EXPECT_EQ(parsed.value(), held);
        }
        // A program without eras names none.
        EXPECT_EQ(
            parseStoreUpdateTarget("/news?backends=12&declarations=34").value(), (StoreVersions { { 12 }, { 34 } }));
        for (const char* const target : { "/", "/news", "/news?backends=&declarations=1", "/news?backends=x" })
            EXPECT_FALSE(parseStoreUpdateTarget(target).has_value());
    }

    RC_GTEST_PROP(StoreUpdateMessageTest, arbitraryBytesAreRefusedOrDecoded, (const std::string& bytes))
    {
        static_cast<void>(decodeStoreUpdate(bytes, c_now));
    }

} // namespace
} // namespace cuminrelay
