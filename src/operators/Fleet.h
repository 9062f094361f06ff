#pragma once

#include "base/Error.h"
#include "base/Time.h"
#include "configuration/Model.h"
#include "members/Member.h"
#include "objectapi/PlatformClient.h"
#include "operators/ZoneStatus.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cuminrelay::operators {

/// The configuration as it is stored.
boost::asio::awaitable<Outcome<Configuration>> readConfiguration(PlatformClient& platform, Deadline deadline);

/// The status objects of all zones that have one. Zones: those of the configuration and of the VM list.
boost::asio::awaitable<Outcome<std::vector<ZoneStatus>>> readZoneStatuses(
    PlatformClient& platform, std::vector<std::string> zones, Deadline deadline);

/// Everything that the platform says about a deployment.
struct Fleet {
    Configuration m_configuration; ///< read last
    std::vector<Member> m_vms;
    std::vector<ZoneStatus> m_zones; ///< only those that have been written
};

boost::asio::awaitable<Outcome<Fleet>> readFleet(PlatformClient& platform, Deadline deadline);

/// The names of the zones that the configuration or the VM list names, sorted.
std::vector<std::string> zoneNames(const Configuration& configuration, std::span<const Member> vms);

/// What a zone's reader said of a backend server, or nullptr. The newest wins when several zones report it.
const HostStatus* findHostStatus(std::span<const ZoneStatus> zones, Endpoint tunnel);

/// A live entry VM that does not have a configuration version in force, and why. One that holds a higher version than
/// the store counts as well: what it holds is not what was asked for.
struct LaggingMember {
    std::string m_name;
    std::string m_zone;
    std::string m_reason;
};

/// The VMs of the list that are active and do not have the version in force, as far as the status objects say.
std::vector<LaggingMember> laggingMembers(const Fleet& fleet, ConfigVersion version);

/// An entry VM that has a higher version in force than the store holds, or nothing.
std::optional<MemberStatus> findMemberAhead(std::span<const ZoneStatus> zones, ConfigVersion stored);

} // namespace cuminrelay::operators
