#include "affinity/BackendCatalog.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <unordered_map>
#include <vector>

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

    /// Each backend server's presence, by identity.
    std::map<std::uint64_t, Presence> presences(const BackendCatalog& catalog)
    {
        std::map<std::uint64_t, Presence> all;
        catalog.forEach([&all](const TrackedBackend& tracked) {
            all[tracked.m_announced.m_identity.m_value] = tracked.m_presence;
        });
        return all;
    }

    // A VM that learned of the older one last used it, and one that learned of it first did not.
    RC_GTEST_PROP(BackendCatalogTest, theYoungestAnnouncedAtAnAddressOwnsItInAnyOrder, ())
    {
        std::vector<AnnouncedBackend> entries;
        for (std::uint64_t identity = 1; identity <= 6; ++identity) {
            entries.push_back(makeBackend(identity, *rc::gen::inRange<std::uint64_t>(1, 20)));
            entries.back().m_server.m_tunnel = { static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)), 8080 };
        }
        const std::size_t removed = *rc::gen::inRange<std::size_t>(0, entries.size() + 1);
        std::vector<AnnouncedBackend> remaining = entries;
        if (removed < entries.size())
            remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(removed));
        std::map<std::uint64_t, Presence> expected;
        for (const AnnouncedBackend& entry : remaining) {
            const bool isOwner = std::ranges::none_of(remaining, [&entry](const AnnouncedBackend& other) {
                return other.m_server.m_tunnel == entry.m_server.m_tunnel
                    && other.m_startedAtUnixMs > entry.m_startedAtUnixMs;
            });
            expected[entry.m_identity.m_value] = isOwner ? Presence::Announced : Presence::Departed;
        }
        std::vector<std::size_t> order { 0, 1, 2, 3, 4, 5 };
        for (std::size_t i = order.size(); i > 1; --i)
            std::swap(order[i - 1], order[*rc::gen::inRange<std::size_t>(0, i)]);
        BackendCatalog changed;
        for (const std::size_t index : order)
            changed.announce(entries[index], c_start);
        if (removed < entries.size())
            changed.withdraw(entries[removed].m_identity, c_start);
        BackendCatalog listed;
        std::vector<AnnouncedBackend> list;
        for (const std::size_t index : order) {
            if (index != removed)
                list.push_back(entries[index]);
        }
        listed.replaceAll(list, c_start);
        for (BackendCatalog* const catalog : { &changed, &listed }) {
            catalog->tick(c_start + c_expiredEntryGrace);
            catalog->tick(c_start + c_expiredEntryGrace + c_departedRetention);
            RC_ASSERT(presences(*catalog) == expected);
        }
    }

    TEST(BackendCatalogTest, aSupersededBackendServerReturnsWhenTheYoungerEntryIsRemoved)
    {
        BackendCatalog catalog;
        catalog.announce(makeBackend(1, 10), c_start);
        AnnouncedBackend next = makeBackend(2, 20);
        next.m_server.m_tunnel = makeBackend(1).m_server.m_tunnel;
        catalog.announce(next, c_start);
        catalog.tick(c_start + 2 * c_departedRetention);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Departed);
        EXPECT_TRUE(catalog.find(tokenOf({ 1 }))->m_confirmedDead);
        catalog.withdraw({ 2 }, c_start + 2 * c_departedRetention);
        EXPECT_EQ(catalog.find(tokenOf({ 1 }))->m_presence, Presence::Announced);
        EXPECT_FALSE(catalog.find(tokenOf({ 1 }))->m_confirmedDead);
    }

    TEST(BackendCatalogTest, noTokenIsZero)
    {
        for (std::uint64_t identity = 0; identity < 100'000; ++identity)
            ASSERT_NE(tokenOf({ identity }).m_value, 0u);
    }

} // namespace
} // namespace cuminrelay
