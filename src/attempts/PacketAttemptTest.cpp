#include "attempts/PacketAttempt.h"

#include <gtest/gtest.h>

namespace cuminrelay {
namespace {

    TEST(PacketAttempt, aFlowWithoutSentPacketsMayBePlacedAnywhereOrRefused)
    {
        EXPECT_EQ(packetRetry({}), PacketRetry::AnyBackend);
        EXPECT_TRUE(mayRefuseAsNotRun({}));
    }

    TEST(PacketAttempt, aRetransmittedOpeningStaysAtItsBackendServer)
    {
        EXPECT_EQ(packetRetry({ .m_openingSent = true }), PacketRetry::SameBackendOnly);
        EXPECT_FALSE(mayRefuseAsNotRun({ .m_openingSent = true }));
    }

    TEST(PacketAttempt, aSynWithoutDataIsPlacedAgainWhenItsBackendServerIsUnavailable)
    {
        EXPECT_EQ(packetRetry({ .m_openingSent = true, .m_isBackendUnavailable = true }), PacketRetry::AnyBackend);
    }

    TEST(PacketAttempt, workThatMayHaveRunIsNeverPlacedAgain)
    {
        EXPECT_EQ(
            packetRetry({ .m_openingSent = true, .m_openingCarriedPayload = true, .m_isBackendUnavailable = true }),
            PacketRetry::SameBackendOnly);
        EXPECT_EQ(packetRetry({ .m_openingSent = true, .m_laterPacketSent = true, .m_isBackendUnavailable = true }),
            PacketRetry::SameBackendOnly);
        EXPECT_EQ(
            packetRetry({ .m_datagramSent = true, .m_isBackendUnavailable = true }), PacketRetry::SameBackendOnly);
        EXPECT_FALSE(mayRefuseAsNotRun({ .m_datagramSent = true }));
    }

} // namespace
} // namespace cuminrelay
