#include "operators/ReadCommands.h"

#include "configuration/ConfigurationJson.h"
#include "configuration/Lookup.h"
#include "configuration/Selector.h"
#include "operators/Fleet.h"
#include "operators/Table.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <utility>

namespace cuminrelay::operators {

namespace asio = boost::asio;

namespace {

    constexpr double c_msPerSecond = 1000;

    std::string labelsText(const Labels& labels)
    {
        std::string text;
        for (const auto& [key, value] : labels)
            text += fmt::format("{}{}={}", text.empty() ? "" : ",", key, value);
        return text;
    }

    std::string timeText(std::int64_t unixSeconds)
    {
        return fmt::format("{:%Y-%m-%d %H:%M:%S}Z", fmt::gmtime(static_cast<std::time_t>(unixSeconds)));
    }

    /// Accepts elements by name or selector; all if neither is set.
    struct ElementFilter {
        std::string m_name;
        std::optional<Selector> m_selector;

        bool accepts(std::string_view name, const Labels& labels) const
        {
            if (!m_name.empty())
                return name == m_name;
            return !m_selector || matches(*m_selector, labels);
        }
    };

    CommandResult showHosts(const Configuration& configuration, const ElementFilter& filter)
    {
        Table table { { "HOST", "ZONE", "TUNNEL", "REPORT", "SLOTS", "CONNECTIONS", "DRAINING", "LABELS" } };
        boost::json::array hosts;
        for (const BackendServer& host : configuration.m_backendServers) {
            if (!filter.accepts(host.m_name, host.m_labels))
                continue;
            hosts.emplace_back(backendServerJson(host));
            table.addRow({ host.m_name, host.m_zone, formatEndpoint(host.m_tunnel), formatEndpoint(host.m_report),
                fmt::format("{}", host.m_slots), fmt::format("{}", host.m_connectionLimit),
                host.m_draining ? "yes" : "no", labelsText(host.m_labels) });
        }
        boost::json::object object { { "version", configuration.m_version.m_number }, { "hosts", std::move(hosts) } };
        return { CommandStatus::Success, std::move(object), table.text() };
    }

    CommandResult showServices(const Configuration& configuration, const ElementFilter& filter)
    {
        Table table { { "SERVICE", "ADDRESS", "PROTOCOL", "HOSTS", "SELECTOR", "LABELS" } };
        boost::json::array services;
        for (const Service& service : configuration.m_services) {
            if (!filter.accepts(service.m_name, service.m_labels))
                continue;
            services.emplace_back(serviceJson(service));
            table.addRow(
                { service.m_name, formatEndpoint(service.m_address), std::string { protocolName(service.m_protocol) },
                    fmt::format("{}", selectBackends(service, configuration).size()),
                    formatSelector(service.m_selector), labelsText(service.m_labels) });
        }
        boost::json::object object { { "version", configuration.m_version.m_number },
            { "services", std::move(services) } };
        return { CommandStatus::Success, std::move(object), table.text() };
    }

    CommandResult showZones(const Configuration& configuration)
    {
        Table table { { "ZONE", "HOSTS" } };
        boost::json::array zones;
        for (const std::string& zone : configuration.m_zones) {
            zones.emplace_back(zone);
            const std::ptrdiff_t hosts
                = std::ranges::count(configuration.m_backendServers, zone, &BackendServer::m_zone);
            table.addRow({ zone, fmt::format("{}", hosts) });
        }
        boost::json::object object { { "version", configuration.m_version.m_number }, { "zones", std::move(zones) } };
        return { CommandStatus::Success, std::move(object), table.text() };
    }

    constexpr std::string_view c_getUsage = "hosts|services|zones [-l SELECTOR], or host NAME, or service NAME";

    bool isSupportedKind(std::string_view kind)
    {
        static constexpr std::array<std::string_view, 5> s_kinds { "host", "hosts", "service", "services", "zones" };
        return std::ranges::find(s_kinds, kind) != s_kinds.end();
    }

    void addMemberRows(Table& table, boost::json::array& array, const ZoneStatus& zone)
    {
        for (const MemberStatus& member : zone.m_members) {
            table.addRow(
                { member.m_name, zone.m_zone, member.m_state, fmt::format("{}", member.m_configVersion.m_number),
                    fmt::format("{}", member.m_flows), fmt::format("{}", member.m_overrides) });
            array.emplace_back(
                boost::json::object { { "name", member.m_name }, { "zone", zone.m_zone }, { "state", member.m_state },
                    { "config_version", member.m_configVersion.m_number }, { "flows", member.m_flows },
                    { "exceptions", member.m_overrides }, { "incarnation", member.m_incarnation } });
        }
    }

    std::string membersSection(const Fleet& fleet, boost::json::object& object)
    {
        Table table { { "ENTRY VM", "ZONE", "STATE", "VERSION", "FLOWS", "EXCEPTIONS" } };
        boost::json::array array;
        for (const ZoneStatus& zone : fleet.m_zones)
            addMemberRows(table, array, zone);
        object["members"] = std::move(array);
        return table.text();
    }

    std::string zonesSection(const Fleet& fleet, std::int64_t unixMs, boost::json::object& object)
    {
        Table table { { "ZONE", "READER", "SEEN", "CUT OFF FROM" } };
        boost::json::array array;
        for (const std::string& name : zoneNames(fleet.m_configuration, fleet.m_vms)) {
            const auto zone = std::ranges::find(fleet.m_zones, name, &ZoneStatus::m_zone);
            if (zone == fleet.m_zones.end()) {
                table.addRow({ name, "-", "never", "-" });
                array.emplace_back(boost::json::object { { "zone", name }, { "reader", nullptr } });
                continue;
            }
            const double age = static_cast<double>(unixMs - zone->m_unixMs) / c_msPerSecond;
            table.addRow({ name, zone->m_reader, fmt::format("{:.1f} s ago", age),
                zone->m_partitionedZones.empty() ? "-" : fmt::format("{}", fmt::join(zone->m_partitionedZones, ",")) });
            boost::json::array partitionedZones(zone->m_partitionedZones.begin(), zone->m_partitionedZones.end());
            array.emplace_back(boost::json::object { { "zone", name }, { "reader", zone->m_reader },
                { "age_seconds", age }, { "cut_off_zones", std::move(partitionedZones) } });
        }
        object["zones"] = std::move(array);
        return table.text();
    }

    std::string hostsSection(const Fleet& fleet, boost::json::object& object)
    {
        Table table { { "HOST", "ZONE", "HEALTH", "CONNECTIONS", "BUSY SLOTS", "QUEUED", "DRAINING" } };
        boost::json::array array;
        for (const BackendServer& host : fleet.m_configuration.m_backendServers) {
            const HostStatus* const status = findHostStatus(fleet.m_zones, host.m_tunnel);
            const HostStatus unknown { host.m_tunnel, "unknown", 0, 0, 0 };
            const HostStatus& shown = status ? *status : unknown;
            table.addRow({ host.m_name, host.m_zone, shown.m_health,
                fmt::format("{}/{}", shown.m_connections, host.m_connectionLimit),
                fmt::format("{}/{}", shown.m_busySlots, host.m_slots), fmt::format("{}", shown.m_queued),
                host.m_draining ? "yes" : "no" });
            array.emplace_back(boost::json::object { { "name", host.m_name }, { "zone", host.m_zone },
                { "health", shown.m_health }, { "connections", shown.m_connections },
                { "busy_slots", shown.m_busySlots }, { "queued", shown.m_queued }, { "draining", host.m_draining } });
        }
        object["hosts"] = std::move(array);
        return table.text();
    }

} // namespace

VerbHelp GetCommand::help() const
{
    return { "get", c_getUsage, "show the declared hosts, services or zones",
        "cuminrelayctl get hosts -l app=kanteisha --output json", { VerbOption::Selector } };
}

asio::awaitable<Outcome<CommandResult>> GetCommand::run(CommandContext& context) const
{
    const std::vector<std::string>& arguments = context.m_options.m_arguments;
    const std::string kind = arguments.empty() ? std::string {} : arguments[0];
    const bool single = kind == "host" || kind == "service";
    if (!isSupportedKind(kind) || arguments.size() != (single ? 2U : 1U))
        co_return Error { ErrorKind::InvalidInput, fmt::format("get: expected {}", c_getUsage) };
    ElementFilter filter { single ? arguments[1] : std::string {}, std::nullopt };
    if (!context.m_options.m_selector.empty()) {
        Outcome<Selector> selector = parseSelector(context.m_options.m_selector);
        if (!selector)
            co_return selector.error();
        filter.m_selector = std::move(selector.value());
    }
    const Outcome<Configuration> configuration = co_await readConfiguration(context.m_platform, context.m_deadline);
    if (!configuration)
        co_return configuration.error();
    const bool exists = kind == "host" ? !!findBackendServer(configuration.value().m_backendServers, filter.m_name)
                                       : !!findService(configuration.value().m_services, filter.m_name);
    if (single && !exists)
        co_return Error { ErrorKind::NotFound, fmt::format("there is no {} \"{}\"", kind, filter.m_name) };
    if (kind == "zones")
        co_return showZones(configuration.value());
    if (kind.starts_with("host"))
        co_return showHosts(configuration.value(), filter);
    co_return showServices(configuration.value(), filter);
}

VerbHelp HistoryCommand::help() const
{
    return { "history", "", "show edits and their authors, newest first; --id finds an edit whose answer was lost",
        "cuminrelayctl history --limit 5", { VerbOption::Limit, VerbOption::EditId } };
}

asio::awaitable<Outcome<CommandResult>> HistoryCommand::run(CommandContext& context) const
{
    const Outcome<Configuration> configuration = co_await readConfiguration(context.m_platform, context.m_deadline);
    if (!configuration)
        co_return configuration.error();
    const std::vector<EditRecord>& history = configuration.value().m_history;
    Table table { { "VERSION", "TIME", "AUTHOR", "WHAT", "ID" } };
    boost::json::array edits;
    for (auto edit = history.rbegin(); edit != history.rend() && edits.size() < context.m_options.m_limit; ++edit) {
        if (!context.m_options.m_editId.empty() && edit->m_id != context.m_options.m_editId)
            continue;
        edits.emplace_back(editRecordJson(*edit));
        table.addRow({ fmt::format("{}", edit->m_version.m_number), timeText(edit->m_unixSeconds), edit->m_author,
            edit->m_summary, edit->m_id });
    }
    const bool missing = !context.m_options.m_editId.empty() && edits.empty();
    boost::json::object object { { "version", configuration.value().m_version.m_number },
        { "edits", std::move(edits) } };
    co_return CommandResult { missing ? CommandStatus::NotAchieved : CommandStatus::Success, std::move(object),
        missing ? fmt::format("no edit {} in the history\n", context.m_options.m_editId) : table.text() };
}

VerbHelp StatusCommand::help() const
{
    return { "status", "", "show entry VMs, zones and hosts as last reported by the zone readers",
        "cuminrelayctl status --output json", {} };
}

asio::awaitable<Outcome<CommandResult>> StatusCommand::run(CommandContext& context) const
{
    const Outcome<Fleet> fleet = co_await readFleet(context.m_platform, context.m_deadline);
    if (!fleet)
        co_return fleet.error();
    const ConfigVersion version = fleet.value().m_configuration.m_version;
    const std::size_t lagging = laggingMembers(fleet.value(), version).size();
    boost::json::object object;
    object["version"] = version.m_number;
    object["lagging"] = lagging;
    std::string text = fmt::format("configuration version {}, not in force on {} of {} entry VMs\n\n", version.m_number,
        lagging, fleet.value().m_vms.size());
    text += membersSection(fleet.value(), object) + '\n';
    text += zonesSection(fleet.value(), context.m_unixMs, object) + '\n';
    text += hostsSection(fleet.value(), object);
    co_return CommandResult { CommandStatus::Success, std::move(object), std::move(text) };
}

} // namespace cuminrelay::operators
