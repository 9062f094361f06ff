#include "affinity/BackendCatalog.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr Instant c_start { std::chrono::seconds { 100 } };

    AnnouncedBackend makeBackend(std::uint64_t identity, std::uint64_t startedAt = 1)
    {
        AnnouncedBackend backend;
        backend.m_identity = { identity };
        backend.m_startedAtUnixMs = startedAt;
        backend.m_server.m_tunnel = { static_cast<std::uint32_t>(identity), 8080 };
        return backend;
    }

    /// Returns two identities that share a token.
    std::pair<std::uint64_t, std::uint64_t> findTokenCollision()
    {
        std::unordered_map<std::uint32_t, std::uint64_t> seen;
        for (std::uint64_t identity = 1;; ++identity) {
            const auto [found, isNew] = seen.emplace(tokenOf({ identity }).m_value, identity);
            if (!isNew)
                return { found->second, identity };
        }
    }

    TEST(BackendCatalogTest, olderBackendKeepsSharedTokenInAnyOrderOfAnnouncement)
    {
        const auto [one, other] = findTokenCollision();
        const AnnouncedBackend older = makeBackend(one, 10);
        const AnnouncedBackend younger = makeBackend(other, 20);
        for (const bool olderFirst : { true, false }) {
            BackendCatalog catalog;
            catalog.announce(olderFirst ? older : younger, c_start);
            catalog.announce(olderFirst ? younger : older, c_start);
            ASSERT_EQ(catalog.size(), 1u);
            EXPECT_EQ(catalog.find(tokenOf({ one }))->m_announced.m_identity.m_value, one);
        }
    }

    TEST(BackendCatalogTest, youngerBackendGetsSharedTokenAfterRemovalOfTheOlder)
    {
        const auto [one, other] = findTokenCollision();
        BackendCatalog catalog;
        catalog.announce(makeBackend(one, 10), c_start);
        catalog.announce(makeBackend(other, 20), c_start);
        catalog.withdraw({ one }, c_start);
        catalog.tick(c_start + c_expiredEntryGrace);
        catalog.tick(c_start + c_expiredEntryGrace + c_departedRetention);
        EXPECT_EQ(catalog.find(tokenOf({ one }))->m_announced.m_identity.m_value, other);
    }

    TEST(BackendCatalogTest, withdrawnEntryExpiresUnlessItWasDraining)
    {
        BackendCatalog catalog;
        AnnouncedBackend draining = makeBackend(2);
        draining.m_server.m_draining = true;
        catalog.announce(makeBackend(1), c_start);
        catalog.announce(draining, c_start);
        catalog.replaceAll({}, c_start);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Expired);
        EXPECT_EQ(catalog.find(tokenOf({ 2 }))->m_presence, Presence::Departed);
        catalog.tick(c_start + c_expiredEntryGrace);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Departed);
        catalog.tick(c_start + c_expiredEntryGrace + c_departedRetention);
        EXPECT_EQ(catalog.size(), 0u);
    }

    TEST(BackendCatalogTest, expiredEntryThatReturnsIsAnnouncedAgain)
    {
        BackendCatalog catalog;
        catalog.announce(makeBackend(1), c_start);
        catalog.withdraw({ 1 }, c_start);
        catalog.announce(makeBackend(1), c_start);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Announced);
        catalog.tick(c_start + c_expiredEntryGrace + c_departedRetention);
        EXPECT_EQ(catalog.size(), 1u);
    }

    TEST(BackendCatalogTest, restartClearsTheLivenessState)
    {
        BackendCatalog catalog;
        catalog.announce(makeBackend(1, 10), c_start);
        TrackedBackend& tracked = *catalog.find(tokenOf({ 1 }));
        tracked.m_confirmedDead = true;
        tracked.m_liveness.recordUnansweredOpening(c_start);
        catalog.announce(makeBackend(1, 11), c_start);
        EXPECT_FALSE(tracked.m_confirmedDead);
        EXPECT_FALSE(tracked.m_liveness.isUnresponsive());
    }

    TEST(BackendCatalogTest, announcedAddressRetiresItsPreviousOwner)
    {
        BackendCatalog catalog;
        catalog.announce(makeBackend(1, 10), c_start);
        AnnouncedBackend next = makeBackend(2, 20);
        next.m_server.m_tunnel = makeBackend(1).m_server.m_tunnel;
        catalog.announce(next, c_start);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Departed);
        EXPECT_EQ(catalog.find(tokenOf({ 2 }))->m_presence, Presence::Announced);
    }

    TEST(BackendCatalogTest, noTokenIsZero)
    {
        for (std::uint64_t identity = 0; identity < 100'000; ++identity)
            ASSERT_NE(tokenOf({ identity }).m_value, 0u);
    }

} // namespace
} // namespace cuminrelay
