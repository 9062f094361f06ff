#include "control/StatusMessage.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace cuminrelay {

namespace {

    namespace json = boost::json;

    std::string_view stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Active:
            return "active";
        case MemberState::Joining:
            return "joining";
        case MemberState::Leaving:
            return "leaving";
        case MemberState::Unreachable:
            return "unreachable";
        }
        return "unknown";
    }

    std::string_view healthName(BackendHealth health)
    {
        switch (health) {
        case BackendHealth::Healthy:
            return "healthy";
        case BackendHealth::Unhealthy:
            return "unhealthy";
        case BackendHealth::Partitioned:
            return "beyond_cut";
        }
        return "unknown";
    }

    json::object memberJson(const ZoneStatus::MemberStatus& status)
    {
        return json::object { { "name", status.m_member.m_name }, { "state", stateName(status.m_member.m_state) },
            { "config_version", status.m_statistics.m_configVersion.m_number },
            { "flows", status.m_statistics.m_flows }, { "exceptions", status.m_statistics.m_overrides },
            { "incarnation", status.m_member.m_incarnation } };
    }

    json::object reportJson(const BackendReport& report)
    {
        return json::object { { "tunnel", formatEndpoint(report.m_backend) }, { "health", healthName(report.m_health) },
            { "connections", report.m_connections }, { "busy_slots", report.m_busySlots },
            { "queued", report.m_queued } };
    }

} // namespace

std::string formatZoneStatus(const ZoneStatus& status, std::int64_t unixMilliseconds)
{
    json::array members;
    for (const ZoneStatus::MemberStatus& member : status.m_members)
        members.push_back(memberJson(member));
    json::array reports;
    for (const BackendReport& report : status.m_reports)
        reports.push_back(reportJson(report));
    json::array zones;
    for (const std::string& zone : status.m_partitionedZones)
        zones.push_back(json::value(zone));
    return json::serialize(json::object { { "reader", status.m_reader }, { "members", std::move(members) },
        { "backend_servers", std::move(reports) }, { "cut_off_zones", std::move(zones) },
        { "unix_ms", unixMilliseconds } });
}

} // namespace cuminrelay
