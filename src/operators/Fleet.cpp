#include "operators/Fleet.h"

#include "configuration/ConfigurationJson.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace cuminrelay::operators {

namespace asio = boost::asio;

asio::awaitable<Outcome<Configuration>> readConfiguration(PlatformClient& platform, Deadline deadline)
{
    const Outcome<StoredObject> object = co_await platform.read("config", "current", deadline);
    if (!object)
        co_return object.error();
    co_return parseConfiguration(object.value().m_body, { object.value().m_version });
}

asio::awaitable<Outcome<std::vector<ZoneStatus>>> readZoneStatuses(
    PlatformClient& platform, std::vector<std::string> zones, Deadline deadline)
{
    std::vector<ZoneStatus> statuses;
    for (const std::string& zone : zones) {
        const Outcome<StoredObject> object = co_await platform.read("status", zone, deadline);
        if (!object && object.error().m_kind == ErrorKind::NotFound)
            continue;
        if (!object)
            co_return object.error();
        Outcome<ZoneStatus> status = parseZoneStatus(zone, object.value().m_body, object.value().m_version);
        if (!status)
            co_return status.error();
        statuses.push_back(std::move(status.value()));
    }
    co_return statuses;
}

asio::awaitable<Outcome<Fleet>> readFleet(PlatformClient& platform, Deadline deadline)
{
    Outcome<Configuration> configuration = co_await readConfiguration(platform, deadline);
    if (!configuration)
        co_return configuration.error();
    Outcome<std::vector<Member>> vms = co_await platform.listMembers(deadline);
    if (!vms)
        co_return vms.error();
    std::vector<std::string> zones = zoneNames(configuration.value(), vms.value());
    Outcome<std::vector<ZoneStatus>> statuses = co_await readZoneStatuses(platform, std::move(zones), deadline);
    if (!statuses)
        co_return statuses.error();
    // Read after the statuses: a higher version in a status then means that the store was restored.
    configuration = co_await readConfiguration(platform, deadline);
    if (!configuration)
        co_return configuration.error();
    co_return Fleet { std::move(configuration.value()), std::move(vms.value()), std::move(statuses.value()) };
}

std::vector<std::string> zoneNames(const Configuration& configuration, std::span<const Member> vms)
{
    std::vector<std::string> names = configuration.m_zones;
    for (const Member& vm : vms)
        names.push_back(vm.m_zone);
    std::ranges::sort(names);
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

const HostStatus* findHostStatus(std::span<const ZoneStatus> zones, Endpoint tunnel)
{
    const HostStatus* newest = nullptr;
    std::int64_t newestMs = 0;
    for (const ZoneStatus& zone : zones) {
        const auto found = std::ranges::find(zone.m_hosts, tunnel, &HostStatus::m_tunnel);
        if (found == zone.m_hosts.end() || (newest && zone.m_unixMs <= newestMs))
            continue;
        newest = &*found;
        newestMs = zone.m_unixMs;
    }
    return newest;
}

namespace {

    /// The reason why an entry VM does not have the version in force; nothing if it has.
    std::optional<std::string> lagReason(const Fleet& fleet, const Member& vm, ConfigVersion version)
    {
        const auto zone = std::ranges::find(fleet.m_zones, vm.m_zone, &ZoneStatus::m_zone);
        if (zone == fleet.m_zones.end())
            return fmt::format("no status of zone {} yet", vm.m_zone);
        const auto member = std::ranges::find(zone->m_members, vm.m_name, &MemberStatus::m_name);
        if (member == zone->m_members.end())
            return fmt::format("not in the status of zone {}", vm.m_zone);
        if (member->m_state == "unreachable")
            return "unreachable";
        const ConfigVersion stored = fleet.m_configuration.m_version;
        if (member->m_configVersion > stored) {
            return fmt::format("at version {}, but the store has only {}: it went back",
                member->m_configVersion.m_number, stored.m_number);
        }
        if (member->m_configVersion >= version)
            return std::nullopt;
        return fmt::format("at version {}", member->m_configVersion.m_number);
    }

} // namespace

std::vector<LaggingMember> laggingMembers(const Fleet& fleet, ConfigVersion version)
{
    std::vector<LaggingMember> lagging;
    for (const Member& vm : fleet.m_vms) {
        if (vm.m_state != MemberState::Active)
            continue;
        std::optional<std::string> reason = lagReason(fleet, vm, version);
        if (reason)
            lagging.push_back({ vm.m_name, vm.m_zone, std::move(*reason) });
    }
    return lagging;
}

std::optional<MemberStatus> findMemberAhead(std::span<const ZoneStatus> zones, ConfigVersion stored)
{
    for (const ZoneStatus& zone : zones) {
        const auto member = std::ranges::find_if(
            zone.m_members, [stored](const MemberStatus& status) { return status.m_configVersion > stored; });
        if (member != zone.m_members.end())
            return *member;
    }
    return std::nullopt;
}

} // namespace cuminrelay::operators
