#include "attempts/PacketAttempt.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    TEST(PacketAttempt, nothingHandedMayGoAnywhereOrBeRefused)
    {
        EXPECT_EQ(packetRetry({}), PacketRetry::AnyBackend);
        EXPECT_TRUE(mayRefuseAsNotRun({}));
    }

    TEST(PacketAttempt, aRetransmittedOpeningDoesNotOpenTwice)
    {
        EXPECT_EQ(packetRetry({ .m_openingHanded = true }), PacketRetry::SameBackendOnly);
        EXPECT_FALSE(mayRefuseAsNotRun({ .m_openingHanded = true }));
    }

    TEST(PacketAttempt, aBareOpeningIsPlacedAgainWhenItsBackendServerIsGone)
    {
        EXPECT_EQ(packetRetry({ .m_openingHanded = true, .m_backendGone = true }), PacketRetry::AnyBackend);
    }

    TEST(PacketAttempt, whatMayHaveRunIsNeverPlacedAgain)
    {
        EXPECT_EQ(packetRetry({ .m_openingHanded = true, .m_openingCarriedPayload = true, .m_backendGone = true }),
            PacketRetry::SameBackendOnly);
        EXPECT_EQ(packetRetry({ .m_openingHanded = true, .m_laterPacketHanded = true, .m_backendGone = true }),
            PacketRetry::SameBackendOnly);
        EXPECT_EQ(packetRetry({ .m_datagramHanded = true, .m_backendGone = true }), PacketRetry::SameBackendOnly);
        EXPECT_FALSE(mayRefuseAsNotRun({ .m_datagramHanded = true }));
    }

} // namespace
} // namespace cuminrelay
