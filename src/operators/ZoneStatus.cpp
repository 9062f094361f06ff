#include "operators/ZoneStatus.h"

#include "settings/JsonFields.h"
#include "settings/JsonText.h"

#include <boost/json/array.hpp>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace cuminrelay::operators {

namespace {

    constexpr std::uint64_t c_maximumNumber = std::numeric_limits<std::uint64_t>::max();
    constexpr std::uint64_t c_maximumTime = std::numeric_limits<std::int64_t>::max();

    Outcome<MemberStatus> parseMember(const boost::json::value& value, std::string_view location)
    {
        JsonFields fields { value, location, JsonFields::UnknownMembers::Ignore };
        MemberStatus member {
            .m_name = fields.requiredText("name"),
            .m_state = fields.requiredText("state"),
            .m_configVersion = { fields.requiredInteger("config_version", 0, c_maximumNumber) },
            .m_flows = fields.integer("flows", 0, 0, c_maximumNumber),
            .m_overrides = fields.integer("exceptions", 0, 0, c_maximumNumber),
            .m_incarnation = fields.integer("incarnation", 0, 0, c_maximumNumber),
        };
        if (const Outcome<void> finished = fields.finish(); !finished)
            return finished.error();
        return member;
    }

    Outcome<HostStatus> parseHost(const boost::json::value& value, std::string_view location)
    {
        JsonFields fields { value, location, JsonFields::UnknownMembers::Ignore };
        HostStatus host {
            .m_tunnel = fields.requiredEndpoint("tunnel"),
            .m_health = fields.requiredText("health"),
            .m_connections = fields.integer("connections", 0, 0, c_maximumNumber),
            .m_busySlots = fields.integer("busy_slots", 0, 0, c_maximumNumber),
            .m_queued = fields.integer("queued", 0, 0, c_maximumNumber),
        };
        if (const Outcome<void> finished = fields.finish(); !finished)
            return finished.error();
        return host;
    }

} // namespace

Outcome<ZoneStatus> parseZoneStatus(std::string_view zone, std::string_view text, std::uint64_t objectVersion)
{
    const std::string location = fmt::format("status/{}", zone);
    const Outcome<boost::json::value> parsed = parseJsonText(location, text);
    if (!parsed)
        return parsed.error();
    JsonFields fields { parsed.value(), location, JsonFields::UnknownMembers::Ignore };
    ZoneStatus status;
    status.m_zone = zone;
    status.m_objectVersion = objectVersion;
    status.m_reader = fields.text("reader");
    status.m_unixMs = static_cast<std::int64_t>(fields.requiredInteger("unix_ms", 0, c_maximumTime));
    status.m_partitionedZones = fields.texts("cut_off_zones");
    const boost::json::array& members = fields.array("members");
    const boost::json::array& hosts = fields.array("backend_servers");
    if (const Outcome<void> finished = fields.finish(); !finished)
        return finished.error();
    for (const boost::json::value& value : members) {
        Outcome<MemberStatus> member = parseMember(value, location);
        if (!member)
            return member.error();
        status.m_members.push_back(std::move(member.value()));
    }
    for (const boost::json::value& value : hosts) {
        Outcome<HostStatus> host = parseHost(value, location);
        if (!host)
            return host.error();
        status.m_hosts.push_back(std::move(host.value()));
    }
    return status;
}

} // namespace cuminrelay::operators
