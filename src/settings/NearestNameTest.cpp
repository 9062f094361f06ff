#include "settings/NearestName.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    TEST(NearestName, nearNamesAreFoundAndFarOnesAreNot)
    {
        const std::vector<std::string> known { "zone", "name", "flow_limit" };
        EXPECT_EQ(nearestName("zoen", known), "zone");
        EXPECT_EQ(nearestName("flowlimit", known), "flow_limit");
        EXPECT_EQ(nearestName("flow_limits", known), "flow_limit");
        EXPECT_EQ(nearestName("metrics", known), "");
        EXPECT_EQ(nearestName("zone", {}), "");
        EXPECT_EQ(allowedNamesText("metrics", known), "flow_limit, name, zone");
    }

    RC_GTEST_PROP(NearestName, arbitraryNamesNeverCrashAndKnownOnesAreTheirOwnNearest, (const std::string& name))
    {
        const std::vector<std::string> known { "other", name };
        nearestName(std::string(1000, 'x') + name, known);
        if (!name.empty() && name.size() <= 64)
            RC_ASSERT(nearestName(name, known) == name);
    }

} // namespace
} // namespace cuminrelay
