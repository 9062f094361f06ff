#include "relay/GracefulShutdown.h"
#include "relay/PauseDetector.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;

    constexpr Instant c_startedAt { std::chrono::seconds { 100 } };
    constexpr Deadline c_deadline = c_startedAt + milliseconds { 6'000 };

    TEST(GracefulShutdownTest, endsAfterRemovalFromTheFabricOnceNoPacketsArrive)
    {
        GracefulShutdown shutdown { c_startedAt, c_deadline };
        EXPECT_FALSE(shutdown.canExit(1, c_startedAt + milliseconds { 900 }));
        shutdown.recordPacket(c_startedAt + milliseconds { 990 });
        EXPECT_FALSE(shutdown.canExit(2, c_startedAt + milliseconds { 1'000 }));
        EXPECT_FALSE(shutdown.canExit(2, c_startedAt + milliseconds { 1'200 }));
        EXPECT_TRUE(shutdown.canExit(2, c_startedAt + milliseconds { 1'300 }));
    }

    TEST(GracefulShutdownTest, continuesWhilePacketsArrive)
    {
        GracefulShutdown shutdown { c_startedAt, c_deadline };
        for (Instant now = c_startedAt; now < c_startedAt + milliseconds { 4'900 }; now += milliseconds { 50 }) {
            shutdown.recordPacket(now);
            EXPECT_FALSE(shutdown.canExit(9, now));
        }
    }

    TEST(GracefulShutdownTest, endsBeforeTheDeadline)
    {
        GracefulShutdown shutdown { c_startedAt, c_deadline };
        shutdown.recordPacket(c_deadline - milliseconds { 1'001 });
        EXPECT_TRUE(shutdown.canExit(0, c_deadline - milliseconds { 1'000 }));
    }

    // The fabric takes a second to remove a VM; a VM that ends at once loses the packets of that time.
    TEST(GracefulShutdownTest, aShortTimeToStopIsUsed)
    {
        const Deadline deadline = c_startedAt + milliseconds { 1'500 };
        GracefulShutdown shutdown { c_startedAt, deadline };
        EXPECT_FALSE(shutdown.canExit(0, c_startedAt + milliseconds { 1'200 }));
        EXPECT_TRUE(shutdown.canExit(0, deadline - milliseconds { 250 }));
    }

    TEST(PauseDetectorTest, distinguishesAPauseFromAShortageOfProcessorTime)
    {
        PauseDetector detector;
        EXPECT_EQ(detector.detect(c_startedAt), Duration::zero());
        EXPECT_EQ(detector.detect(c_startedAt + milliseconds { 300 }), Duration::zero());
        EXPECT_EQ(detector.detect(c_startedAt + milliseconds { 4'300 }), milliseconds { 4'000 });
        EXPECT_EQ(detector.detect(c_startedAt + milliseconds { 4'350 }), Duration::zero());
    }

} // namespace
} // namespace cuminrelay
