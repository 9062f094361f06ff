#include "settings/NearestName.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cuminrelay {
namespace {

    TEST(NearestName, similarNamesAreFoundAndOthersAreNot)
    {
        const std::vector<std::string> candidates { "zone", "name", "flow_limit" };
        EXPECT_EQ(nearestName("zoen", candidates), "zone");
        EXPECT_EQ(nearestName("flowlimit", candidates), "flow_limit");
        EXPECT_EQ(nearestName("flow_limits", candidates), "flow_limit");
        EXPECT_EQ(nearestName("metrics", candidates), "");
        EXPECT_EQ(nearestName("zone", {}), "");
        EXPECT_EQ(allowedNamesText("metrics", candidates), "flow_limit, name, zone");
    }

    RC_GTEST_PROP(NearestName, arbitraryNamesNeverCrashAndCandidatesMatchThemselves, (const std::string& name))
    {
        const std::vector<std::string> candidates { "other", name };
        nearestName(std::string(1000, 'x') + name, candidates);
        if (!name.empty() && name.size() <= 64)
            RC_ASSERT(nearestName(name, candidates) == name);
    }

} // namespace
} // namespace cuminrelay
