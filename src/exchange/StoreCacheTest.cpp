#include "exchange/StoreCache.h"
#include "exchange/StoreUpdateMessage.h"
#include "exchange/StoreUpdateServer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace cuminrelay {
namespace {

    constexpr Instant c_now { std::chrono::seconds { 100 } };

    AnnouncedBackend makeBackend(std::uint64_t identity, std::string_view zone = "a")
    {
        AnnouncedBackend backend;
        backend.m_identity = { identity };
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
    void applyStoreUpdate(StoreCache& storeCache, const StoreUpdate& sent)
    {
        const Outcome<StoreUpdate> decoded = decodeStoreUpdate(encodeStoreUpdate(sent, c_now), c_now);
        ASSERT_TRUE(decoded.has_value()) << decoded.error().m_message;
        const StoreUpdate& update = decoded.value();
        if (update.m_isComplete) {
            storeCache.apply(BackendList { update.m_backends, {}, update.m_backendsRevision });
        } else {
            storeCache.apply(changesOf(update));
        }
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
        storeCache.apply(storeCache.withoutUnusable(BackendChanges { {}, { { "i-1", { 11 }, "odd" } }, { 11 } }));
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
        storeCache.apply(
            storeCache.withoutUnusable(BackendList { { makeBackend(2) }, { { "i-1", { 15 }, "odd" } }, { 20 } }));
        EXPECT_EQ(isDraining(storeCache, 1), true);
        EXPECT_EQ(isDraining(storeCache, 2), false);
    }

    TEST(StoreCacheTest, unreadableEntriesOfOtherNamesChangeNothing)
    {
        StoreCache storeCache;
        storeCache.apply(BackendList { { makeBackend(1) }, {}, { 10 } });
        const std::vector<UnreadableEntry> others { { "notes-1", { 11 }, "odd" }, { "", {}, "odd" },
            { "i-9", {}, "" } };
        storeCache.apply(storeCache.withoutUnusable(BackendChanges { {}, others, { 11 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
    }

    // Only the end of a name is the identity. Another writer's entry took the record of a live backend server.
    TEST(StoreCacheTest, entriesOfOtherNamesWithAKnownIdentityChangeNothing)
    {
        AnnouncedBackend stray = makeBackend(1);
        stray.m_server.m_name = "notes-1";
        stray.m_server.m_draining = true;
        ++stray.m_startedAtUnixMs;
        StoreCache storeCache;
        storeCache.apply(storeCache.withoutUnusable(BackendList { { stray, makeBackend(1) }, {}, { 10 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        storeCache.apply(storeCache.withoutUnusable(BackendChanges { { { { 1 }, stray, "notes-1" } }, {}, { 11 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        storeCache.apply(storeCache.withoutUnusable(BackendList { { stray, makeBackend(1) }, {}, { 12 } }));
        EXPECT_EQ(isDraining(storeCache, 1), false);
        storeCache.apply(storeCache.withoutUnusable(BackendChanges { { { { 1 }, {}, "notes-1" } }, {}, { 13 } }));
        EXPECT_EQ(identitiesOf(storeCache), std::vector<std::uint64_t> { 1 });
        storeCache.apply(storeCache.withoutUnusable(BackendChanges { { { { 1 }, {}, "i-1" } }, {}, { 14 } }));
        EXPECT_TRUE(identitiesOf(storeCache).empty());
    }

    TEST(StoreUpdateServerTest, theTargetHoldsTheStoreVersions)
    {
        const StoreVersions held { { 12 }, { 34 } };
        const Outcome<StoreVersions> parsed = parseStoreUpdateTarget(storeUpdateTarget(held));
        ASSERT_TRUE(parsed.has_value());
        EXPECT_EQ(parsed.value(), held);
        for (const char* const target : { "/", "/news", "/news?backends=&declarations=1", "/news?backends=x" })
            EXPECT_FALSE(parseStoreUpdateTarget(target).has_value());
    }

    RC_GTEST_PROP(StoreUpdateMessageTest, arbitraryBytesAreRefusedOrDecoded, (const std::string& bytes))
    {
        static_cast<void>(decodeStoreUpdate(bytes, c_now));
    }

} // namespace
} // namespace cuminrelay
