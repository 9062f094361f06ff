#pragma once

#include <chrono>
#include <cstdint>

namespace cuminrelay {

/// The time base of all decisions: monotonic, in microseconds, with an epoch that only the clock knows. Decisions are
/// handed an Instant and never read a clock.
struct MonotonicTime {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<MonotonicTime>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard
};

using Duration = MonotonicTime::duration;
using Instant = MonotonicTime::time_point;

/// A point in time at which something lapses. State stores deadlines, never durations.
using Deadline = Instant;

/// Where tasks read the time; tests and the bench hand in a virtual one.
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

/// As SystemClock, but it also counts the time that the machine was suspended, so that ages stay true.
class BootClock final : public Clock {
public:
    Instant now() const override;
};

/// A clock that moves only when it is told to.
class ManualClock final : public Clock {
public:
    Instant now() const override { return m_now; }

    void advance(Duration by) { m_now += by; }

private:
    Instant m_now { Duration { 1 } };
};

} // namespace cuminrelay
