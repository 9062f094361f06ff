#include "affinity/CarriedToken.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cuminrelay {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration c_timeOfDay = std::chrono::hours { 490'000 };

    TEST(CarriedTokenTest, noTokenIsNone)
    {
        EXPECT_EQ(CarriedToken::decode(0).m_kind, CarriedToken::Kind::None);
        EXPECT_FALSE(CarriedToken {}.mayName({}));
    }

    RC_GTEST_PROP(CarriedTokenTest, aBackendServersTokenIsSettled, (std::uint64_t identity))
    {
        const BackendToken backend = tokenOf({ identity });
        const CarriedToken carried = CarriedToken::decode(backend.m_value);
        RC_ASSERT(carried.m_kind == CarriedToken::Kind::Settled);
        RC_ASSERT(carried.mayName(backend));
        RC_ASSERT(!carried.mayName({ backend.m_value ^ (1U << 30U) }));
    }

    RC_GTEST_PROP(CarriedTokenTest, anOpeningTokenNamesItsBackendServer, (std::uint64_t identity, bool isCopy))
    {
        const BackendToken backend = tokenOf({ identity });
        const Duration timeOfDay = c_timeOfDay + milliseconds { *rc::gen::inRange(0, 200'000) };
        const CarriedToken carried = CarriedToken::decode(CarriedToken::encodeOpening(backend, isCopy, timeOfDay));
        RC_ASSERT(carried.m_kind == (isCopy ? CarriedToken::Kind::CopiedOpening : CarriedToken::Kind::Opening));
        RC_ASSERT(carried.mayName(backend));
        RC_ASSERT(!carried.mayName({ backend.m_value ^ 1U }));
    }

    // Within the maximum lifetime of a flow, the age is exact to two units, and never too high.
    RC_GTEST_PROP(CarriedTokenTest, theAgeOfAnOpeningIsKnown, ())
    {
        const Duration openedAt = c_timeOfDay + milliseconds { *rc::gen::inRange(0, 200'000) };
        const Duration age = milliseconds { *rc::gen::inRange(0, 59'000) };
        const CarriedToken carried = CarriedToken::decode(CarriedToken::encodeOpening({ 7 }, false, openedAt));
        const Duration minAge = carried.minAge(openedAt + age);
        RC_ASSERT(minAge <= age);
        RC_ASSERT(minAge + 2 * CarriedToken::s_timeUnit > age);
        RC_ASSERT(carried.minAge(openedAt - seconds { 3 }) == Duration::zero()); // another VM's clock is behind
    }

} // namespace
} // namespace cuminrelay
