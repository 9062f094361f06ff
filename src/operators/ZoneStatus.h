#pragma once

#include "base/Endpoint.h"
#include "base/Error.h"
#include "configuration/Model.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrelay::operators {

/// State of an entry VM as last reported by its zone's reader.
struct MemberStatus {
    std::string m_name;
    std::string m_state; ///< "active", "leaving", "unreachable"
    ConfigVersion m_configVersion; ///< in force on the VM
    std::uint64_t m_flows = 0;
    std::uint64_t m_overrides = 0; ///< flows not on their default host
    std::uint64_t m_incarnation = 0;
};

/// State of a backend server as last reported by the zone's reader.
struct HostStatus {
    Endpoint m_tunnel;
    std::string m_health; ///< "healthy", "unhealthy", "beyond_cut"
    std::uint64_t m_connections = 0;
    std::uint64_t m_busySlots = 0;
    std::uint64_t m_queued = 0;
};

/// Contents of the object status/ZONE.
struct ZoneStatus {
    std::string m_zone;
    std::string m_reader; ///< entry VM that wrote the object
    std::uint64_t m_objectVersion = 0;
    std::int64_t m_unixMs = 0; ///< time of the write
    std::vector<MemberStatus> m_members;
    std::vector<HostStatus> m_hosts;
    std::vector<std::string> m_partitionedZones; ///< unreachable from this zone
};

/// Parses the object status/ZONE. Unknown JSON members are ignored. Errors: InvalidInput.
Outcome<ZoneStatus> parseZoneStatus(std::string_view zone, std::string_view text, std::uint64_t objectVersion);

} // namespace cuminrelay::operators
