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
    std::pair<std::uint64_t, std::uint64_t> findClash()
    {
        std::unordered_map<std::uint32_t, std::uint64_t> seen;
        for (std::uint64_t identity = 1;; ++identity) {
            const auto [found, isNew] = seen.emplace(tokenOf({ identity }).m_value, identity);
            if (!isNew)
                return { found->second, identity };
        }
    }

    TEST(BackendCatalogTest, theOlderOfTwoWithOneTokenKeepsItWhicheverIsHeardOfFirst)
    {
        const auto [one, other] = findClash();
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

    TEST(BackendCatalogTest, theYoungerTakesTheTokenWhenTheOlderIsForgotten)
    {
        const auto [one, other] = findClash();
        BackendCatalog catalog;
        catalog.announce(makeBackend(one, 10), c_start);
        catalog.announce(makeBackend(other, 20), c_start);
        catalog.withdraw({ one }, c_start);
        catalog.tick(c_start + c_lapseGrace);
        catalog.tick(c_start + c_lapseGrace + c_departedMemory);
        EXPECT_EQ(catalog.find(tokenOf({ one }))->m_announced.m_identity.m_value, other);
    }

    TEST(BackendCatalogTest, anEntryThatVanishesLapsesAndOneThatDrainedHasLeft)
    {
        BackendCatalog catalog;
        AnnouncedBackend draining = makeBackend(2);
        draining.m_server.m_draining = true;
        catalog.announce(makeBackend(1), c_start);
        catalog.announce(draining, c_start);
        catalog.replaceAll({}, c_start);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Lapsed);
        EXPECT_EQ(catalog.find(tokenOf({ 2 }))->m_presence, Presence::Departed);
        catalog.tick(c_start + c_lapseGrace);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Departed);
        catalog.tick(c_start + c_lapseGrace + c_departedMemory);
        EXPECT_EQ(catalog.size(), 0u);
    }

    TEST(BackendCatalogTest, aLapsedEntryThatComesBackIsAnnouncedAgain)
    {
        BackendCatalog catalog;
        catalog.announce(makeBackend(1), c_start);
        catalog.withdraw({ 1 }, c_start);
        catalog.announce(makeBackend(1), c_start);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Announced);
        catalog.tick(c_start + c_lapseGrace + c_departedMemory);
        EXPECT_EQ(catalog.size(), 1u);
    }

    TEST(BackendCatalogTest, anIdentityThatStartsAgainHoldsNothingOfBefore)
    {
        BackendCatalog catalog;
        catalog.announce(makeBackend(1, 10), c_start);
        KnownBackend& known = *catalog.find(tokenOf({ 1 }));
        known.m_confirmedDead = true;
        known.m_life.noteUnansweredOpening(c_start);
        catalog.announce(makeBackend(1, 11), c_start);
        EXPECT_FALSE(known.m_confirmedDead);
        EXPECT_FALSE(known.m_life.isSilent());
    }

    TEST(BackendCatalogTest, whoAnnouncesAnAddressRetiresItsPreviousOwner)
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
