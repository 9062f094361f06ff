#pragma once

#include "affinity/ZoneHash.h"
#include "base/Time.h"

#include <cstddef>
#include <vector>

namespace cuminrelay {

/// The evacuated availability zones, as one entry VM reports them to another.
struct EvacuatedZones {
    /// Maximum number of zones in a report: twice the zones of the largest deployment that the design provides for.
    static constexpr std::size_t s_maxZones = 16;

    std::vector<ZoneHash> m_zones; ///< that the store lists
    std::vector<ZoneHash> m_retained; ///< that it listed before it came back from an older copy
    Duration m_retainedFor {}; ///< remaining time of m_retained; whole milliseconds on the wire

    std::size_t size() const { return m_zones.size() + m_retained.size(); }

    friend bool operator==(const EvacuatedZones&, const EvacuatedZones&) = default;
};

} // namespace cuminrelay
