#pragma once

#include "base/BytePacer.h"
#include "base/Time.h"
#include "exchange/LoadMessage.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cuminrelay {

/// Budget of load messages, out of a VM's 20 KB a second for control traffic; the rest is for store updates.
inline constexpr std::uint64_t c_exchangeBytesPerSecond = 16'000;

/// IPv4 and UDP headers of each message.
inline constexpr std::size_t c_datagramHeaderBytes = 28;

/// Decides when an entry VM sends its load to others: when it, or a contested flow, has changed and the byte budget
/// allows it; regardless of the budget, when the dead backend servers have changed, and at intervals, so that the
/// receivers do not expire it.
class LoadMessageSchedule {
public:
    explicit LoadMessageSchedule(std::uint64_t bytesPerSecond)
        : m_pacer(bytesPerSecond)
    {
    }

    bool isDue(std::span<const BackendLoadReport> loads, std::span<const BackendToken> dead, bool hasContestedFlows,
        Instant now) const;

    /// Records that a load was sent. bytes: total size of its datagrams. Unchanged, it is due again at repeatAt.
    void recordLoadMessage(std::span<const BackendLoadReport> loads, std::span<const BackendToken> dead,
        std::size_t bytes, Instant now, Deadline repeatAt);

    /// Charges the budget for a message sent outside the schedule.
    void recordOtherMessage(std::size_t bytes, Instant now) { m_pacer.charge(bytes, now); }

private:
    BytePacer m_pacer;
    std::vector<BackendLoadReport> m_loads;
    std::vector<BackendToken> m_dead;
    Deadline m_repeatAt {};
};

} // namespace cuminrelay
