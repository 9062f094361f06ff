#include "configuration/ConfigurationHolder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    Configuration versionWithZone(std::uint64_t version, const std::string& zone)
    {
        Configuration configuration;
        configuration.m_version = { version };
        configuration.m_zones = { zone };
        return configuration;
    }

    TEST(ConfigurationHolder, newerVersionIsAccepted)
    {
        ConfigurationHolder holder;
        EXPECT_EQ(holder.version().m_number, 0U);
        EXPECT_TRUE(holder.offer(versionWithZone(3, "a")).value());
        EXPECT_FALSE(holder.offer(versionWithZone(3, "a")).value()) << "identical content is no change";
        EXPECT_TRUE(holder.offer(versionWithZone(8, "b")).value());
        EXPECT_EQ(holder.current()->m_zones.front(), "b");
        EXPECT_EQ(holder.find({ 3 })->m_zones.front(), "a");
        EXPECT_EQ(holder.find({ 4 }), nullptr);
    }

    TEST(ConfigurationHolder, differentContentAtTheHeldVersionIsAConflict)
    {
        ConfigurationHolder holder;
        ASSERT_TRUE(holder.offer(versionWithZone(3, "a")).has_value());
        EXPECT_EQ(holder.offer(versionWithZone(3, "b")).error().m_kind, ErrorKind::Conflict);
        EXPECT_EQ(holder.current()->m_zones.front(), "a");
    }

    TEST(ConfigurationHolder, nextReturnsRetainedVersionsInOrder)
    {
        ConfigurationHolder holder;
        EXPECT_EQ(holder.next({ 0 }), nullptr);
        for (const std::uint64_t version : { 3, 8, 9 })
            ASSERT_TRUE(holder.offer(versionWithZone(version, "a")).has_value());
        EXPECT_EQ(holder.next({ 0 })->m_version.m_number, 3U);
        EXPECT_EQ(holder.next({ 3 })->m_version.m_number, 8U);
        EXPECT_EQ(holder.next({ 5 })->m_version.m_number, 8U) << "version 5 was never held";
        EXPECT_EQ(holder.next({ 9 }), nullptr);
    }

    TEST(ConfigurationHolder, afterReturnsAllNewerVersions)
    {
        ConfigurationHolder holder;
        for (const std::uint64_t version : { 3, 8, 9 })
            ASSERT_TRUE(holder.offer(versionWithZone(version, "a")).has_value());
        const std::vector<SharedConfiguration> newer = holder.after({ 3 });
        ASSERT_EQ(newer.size(), 2U);
        EXPECT_EQ(newer[0]->m_version.m_number, 8U);
        EXPECT_EQ(newer[1]->m_version.m_number, 9U);
        EXPECT_TRUE(holder.after({ 9 }).empty());
    }

    TEST(ConfigurationHolder, retainedVersionsAreBounded)
    {
        constexpr std::uint64_t offered = 200;
        constexpr std::uint64_t retained = 64;
        ConfigurationHolder holder;
        for (std::uint64_t version = 1; version <= offered; ++version)
            ASSERT_TRUE(holder.offer(versionWithZone(version, "a")).has_value());
        EXPECT_EQ(holder.next({ 0 })->m_version.m_number, offered - retained + 1);

        Configuration large = versionWithZone(offered + 1, "a");
        large.m_backendServers.resize(10'000);
        for (std::uint64_t version = offered + 1; version <= offered + 5; ++version) {
            large.m_version = { version };
            ASSERT_TRUE(holder.offer(large).has_value());
        }
        EXPECT_EQ(holder.next({ 0 })->m_version.m_number, offered + 3) << "three versions are retained at any size";
    }

    RC_GTEST_PROP(ConfigurationHolder, versionNeverDecreases, (const std::vector<std::uint8_t>& versions))
    {
        ConfigurationHolder holder;
        std::uint64_t highest = 0;
        for (const std::uint8_t version : versions) {
            const Outcome<bool> offered = holder.offer(versionWithZone(version, "z" + std::to_string(version)));
            if (version < highest)
                RC_ASSERT(offered.error().m_kind == ErrorKind::Stale);
            highest = std::max<std::uint64_t>(highest, version);
            RC_ASSERT(holder.version().m_number == highest);
        }
    }

} // namespace
} // namespace cuminrelay
