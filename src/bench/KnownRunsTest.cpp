#include "bench/KnownRuns.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    constexpr std::string_view c_list = "Faults that are known.\n\n"
                                        "faults --seed 1 | kill-vm | broken: 1 | issue 4\n"
                                        "faults --seed 1 | cut-zone then kill-vm after 2.2 s | broken: 2 | issue 4\n"
                                        "faults --seed 10 | pause-vm | broken: 1 | issue 4\n"
                                        "faults --seed 1 | restart-vm";

    TEST(KnownRuns, returnsOnlyRunsOfTheCommand)
    {
        const std::set<std::string, std::less<>> expected { "cut-zone then kill-vm after 2.2 s", "kill-vm",
            "restart-vm" };
        EXPECT_EQ(findKnownRuns(c_list, "faults --seed 1"), expected);
        EXPECT_EQ(findKnownRuns(c_list, "faults --seed 10").size(), 1U);
        EXPECT_TRUE(findKnownRuns(c_list, "faults --seed 2").empty());
        EXPECT_TRUE(findKnownRuns("", "faults --seed 1").empty());
    }

} // namespace
} // namespace cuminrelay
