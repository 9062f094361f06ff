#pragma once

#include "discovery/WatchSchedule.h"

#include <cstdint>
#include <optional>

namespace cuminrelay {

/// Decides which confirmations of the state permit resets and refusals after the store came back from an older copy:
/// until the operators and backend servers have written again what the copy lacks, its state may lack what the store
/// acknowledged before.
class StateEra {
public:
    /// Records the era of the state that this VM took over.
    void record(std::uint32_t era, Instant now)
    {
        if (m_era && era > *m_era)
            m_settledAt = now + WatchSchedule::s_restoreSettleTime;
        m_era = era;
    }

    /// Returns the time of a confirmation, or epoch if it does not count yet.
    Instant settled(Instant confirmedAt) const { return confirmedAt >= m_settledAt ? confirmedAt : Instant {}; }

private:
    std::optional<std::uint32_t> m_era; ///< empty: no state yet
    Instant m_settledAt {};
};

} // namespace cuminrelay
