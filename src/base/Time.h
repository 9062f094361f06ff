#pragma once

#include <chrono>
#include <cstdint>

namespace cuminrelay {

/// The time base of all decisions: monotonic, in microseconds, with an unspecified epoch. Decision code receives an
/// Instant as a parameter and never reads a clock.
struct MonotonicTime {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<MonotonicTime>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard
};

using Duration = MonotonicTime::duration;
using Instant = MonotonicTime::time_point;

/// The time at which a timer or an entry expires. State stores deadlines, never remaining durations.
using Deadline = Instant;

/// Source of the current time for tasks; tests and the bench pass a virtual clock.
class Clock {
public:
    Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    virtual ~Clock() = default;

    virtual Instant now() const = 0;
};

/// The monotonic clock of the machine.
class SystemClock final : public Clock {
public:
    Instant now() const override;
};

/// As SystemClock, but includes time in suspension, so that ages stay correct.
class BootClock final : public Clock {
public:
    Instant now() const override;
};

/// A clock that moves only by calls to advance().
class ManualClock final : public Clock {
public:
    Instant now() const override { return m_now; }

    void advance(Duration by) { m_now += by; }

private:
    Instant m_now { Duration { 1 } };
};

} // namespace cuminrelay
