#include "relay/Departure.h"
#include "relay/PauseDetector.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_begun { std::chrono::seconds { 100 } };
    constexpr Deadline c_endBy = c_begun + milliseconds { 6'000 };

    TEST(DepartureTest, endsOnceTheFabricHasLetGoAndNothingComesAnyMore)
    {
        Departure departure { c_begun, c_endBy };
        EXPECT_FALSE(departure.mayEnd(1, c_begun + milliseconds { 900 }));
        departure.notePacket(c_begun + milliseconds { 990 });
        EXPECT_FALSE(departure.mayEnd(2, c_begun + milliseconds { 1'000 }));
        EXPECT_FALSE(departure.mayEnd(2, c_begun + milliseconds { 1'200 }));
        EXPECT_TRUE(departure.mayEnd(2, c_begun + milliseconds { 1'300 }));
    }

    TEST(DepartureTest, goesOnWhilePacketsStillCome)
    {
        Departure departure { c_begun, c_endBy };
        for (Instant now = c_begun; now < c_begun + milliseconds { 4'900 }; now += milliseconds { 50 }) {
            departure.notePacket(now);
            EXPECT_FALSE(departure.mayEnd(9, now));
        }
    }

    TEST(DepartureTest, endsBeforeItIsKilled)
    {
        Departure departure { c_begun, c_endBy };
        departure.notePacket(c_endBy - milliseconds { 1'001 });
        EXPECT_TRUE(departure.mayEnd(0, c_endBy - milliseconds { 1'000 }));
    }

    TEST(PauseDetectorTest, tellsAPauseFromAShortageOfProcessorTime)
    {
        PauseDetector pauses;
        EXPECT_EQ(pauses.ran(c_begun), Duration::zero());
        EXPECT_EQ(pauses.ran(c_begun + milliseconds { 300 }), Duration::zero());
        EXPECT_EQ(pauses.ran(c_begun + milliseconds { 4'300 }), milliseconds { 4'000 });
        EXPECT_EQ(pauses.ran(c_begun + milliseconds { 4'350 }), Duration::zero());
    }

} // namespace
} // namespace cuminrelay
