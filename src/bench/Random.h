#pragma once

#include <cstdint>
#include <random>

namespace cuminrelay {

/// Seeded random numbers. The same seed gives the same run.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns an integer in [0, bound).
    std::uint64_t below(std::uint64_t bound) { return m_engine() % bound; }

    /// Returns a number in [0, 1).
    double fraction() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }

    bool chance(double probability) { return fraction() < probability; }

    /// Returns the time between two events of a Poisson process, in seconds.
    double exponentialSeconds(double perSecond)
    {
        return std::exponential_distribution<double> { perSecond }(m_engine);
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace cuminrelay
