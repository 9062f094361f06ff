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

    TEST(ConfigurationHolder, newerVersionIsTaken)
    {
        ConfigurationHolder holder;
        EXPECT_EQ(holder.version().m_number, 0U);
        EXPECT_TRUE(holder.offer(versionWithZone(3, "a")).value());
        EXPECT_FALSE(holder.offer(versionWithZone(3, "a")).value()) << "the same content is no change";
        EXPECT_TRUE(holder.offer(versionWithZone(8, "b")).value());
        EXPECT_EQ(holder.current()->m_zones.front(), "b");
        EXPECT_EQ(holder.find({ 3 })->m_zones.front(), "a");
        EXPECT_EQ(holder.find({ 4 }), nullptr);
    }

    TEST(ConfigurationHolder, otherContentAtTheHeldVersionIsAConflict)
    {
        ConfigurationHolder holder;
        ASSERT_TRUE(holder.offer(versionWithZone(3, "a")).has_value());
        EXPECT_EQ(holder.offer(versionWithZone(3, "b")).error().m_kind, ErrorKind::Conflict);
        EXPECT_EQ(holder.current()->m_zones.front(), "a");
    }

    RC_GTEST_PROP(ConfigurationHolder, neverGoesBackWhateverIsOffered, (const std::vector<std::uint8_t>& versions))
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
