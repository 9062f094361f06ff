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

/// Reads the stored configuration. Errors: as PlatformClient::read and parseConfiguration.
boost::asio::awaitable<Outcome<Configuration>> readConfiguration(PlatformClient& platform, Deadline deadline);

/// Reads the status objects of the zones. Zones without one are left out. Errors: as PlatformClient::read and
/// parseZoneStatus.
boost::asio::awaitable<Outcome<std::vector<ZoneStatus>>> readZoneStatuses(
    PlatformClient& platform, std::vector<std::string> zones, Deadline deadline);

/// Stored state of a deployment.
struct Fleet {
    Configuration m_configuration; ///< read after the statuses
    std::vector<Member> m_vms;
    std::vector<ZoneStatus> m_zones; ///< only zones with a status object
};

/// Errors: as the functions above and PlatformClient::listMembers.
boost::asio::awaitable<Outcome<Fleet>> readFleet(PlatformClient& platform, Deadline deadline);

/// Sorted names of the zones in the configuration or the VM list.
std::vector<std::string> zoneNames(const Configuration& configuration, std::span<const Member> vms);

/// The most recently written status of a backend server, or nullptr.
const HostStatus* findHostStatus(std::span<const ZoneStatus> zones, Endpoint tunnel);

/// A live entry VM that does not have a configuration version in force, and the reason. A VM with a higher version than
/// the store is included: it does not run the stored configuration.
struct LaggingMember {
    std::string m_name;
    std::string m_zone;
    std::string m_reason;
};

/// Active VMs that do not have the version in force according to the status objects.
std::vector<LaggingMember> laggingMembers(const Fleet& fleet, ConfigVersion version);

/// An entry VM with a higher version in force than the stored one, or nothing.
std::optional<MemberStatus> findMemberAhead(std::span<const ZoneStatus> zones, ConfigVersion stored);

} // namespace cuminrelay::operators
