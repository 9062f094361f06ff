#include "affinity/CarriedToken.h"

namespace cuminrelay {

namespace {

    constexpr std::uint32_t c_openingBit = 1U << 31U;
    constexpr std::uint32_t c_copyBit = 1U << 30U;
    constexpr unsigned c_timeShift = 22;
    constexpr std::uint32_t c_backendMask = (1U << c_timeShift) - 1;
    constexpr std::uint32_t c_timeMask = 0xff;

    /// Differences beyond this are those of a clock that is behind the clock of the opening's VM.
    constexpr std::uint32_t c_maxUnits = 240;

    std::uint32_t unitsOf(Duration timeOfDay)
    {
        return static_cast<std::uint32_t>(timeOfDay / CarriedToken::s_timeUnit) & c_timeMask;
    }

} // namespace

CarriedToken CarriedToken::decode(std::uint32_t value)
{
    if (value == 0)
        return {};
    if ((value & c_openingBit) == 0)
        return { Kind::Settled, value, 0 };
    return { (value & c_copyBit) != 0 ? Kind::CopiedOpening : Kind::Opening, value & c_backendMask,
        static_cast<std::uint8_t>((value >> c_timeShift) & c_timeMask) };
}

std::uint32_t CarriedToken::encodeOpening(BackendToken backend, bool isCopy, Duration timeOfDay)
{
    return c_openingBit | (isCopy ? c_copyBit : 0) | (unitsOf(timeOfDay) << c_timeShift)
        | (backend.m_value & c_backendMask);
}

bool CarriedToken::mayName(BackendToken backend) const
{
    return isOpening() ? (backend.m_value & c_backendMask) == m_backendBits
                       : m_kind == Kind::Settled && backend.m_value == m_backendBits;
}

Duration CarriedToken::minAge(Duration timeOfDay) const
{
    const std::uint32_t units = (unitsOf(timeOfDay) - m_time) & c_timeMask;
    return units == 0 || units > c_maxUnits ? Duration::zero() : (units - 1) * s_timeUnit;
}

} // namespace cuminrelay
